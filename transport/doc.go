// Package transport is the top layer: its packages own all sockets and timers
// and carry out the decisions of package coordination.
package transport
