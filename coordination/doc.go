// Package coordination is the layer of decisions. Its packages take typed
// input and the time, and return typed results. They do no I/O, know no
// encoding of messages and start no goroutines, so that another front end can
// use them with package state alone.
package coordination
