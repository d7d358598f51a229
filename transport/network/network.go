// Package network opens connections between nodes. Embedding programs and tests
// can supply their own implementation.
package network

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// Network dials and listens. Addresses have the form "IP:port".
type Network interface {
	// Dial opens a connection. It fails if ctx ends first.
	Dial(ctx context.Context, address string) (net.Conn, error)
	// Listen returns a listener for an address.
	Listen(ctx context.Context, address string) (net.Listener, error)
}

// dialTimeout is the timeout for opening a TCP connection.
const dialTimeout = 2 * time.Second

// TCP is a Network that uses the TCP stack of the operating system.
type TCP struct{}

// Dial opens a TCP connection.
func (TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive(), Control: setUserTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	return conn, errors.Wrapf(err, "dial %s", address)
}

// Listen returns a listener for TCP connections.
func (TCP) Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive(), Control: setUserTimeout}
	listener, err := config.Listen(ctx, "tcp", address)
	return listener, errors.Wrapf(err, "listen on %s", address)
}
