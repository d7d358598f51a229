// Package coordination is the layer of decisions between protocol and state. Its
// packages take typed input and the current time, and return typed results. They
// do no I/O, do not depend on the encoding of messages and start no goroutines,
// so that another front end can use them with package state alone.
package coordination
