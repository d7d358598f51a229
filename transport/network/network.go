// Package network opens connections between nodes. An embedding program or a
// test can supply its own.
package network

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// Network dials and listens. Addresses are an IP number and a port.
type Network interface {
	// Dial opens a connection, or fails when ctx is done.
	Dial(ctx context.Context, address string) (net.Conn, error)
	// Listen accepts connections on an address.
	Listen(ctx context.Context, address string) (net.Listener, error)
}

// dialTimeout bounds the time to open a TCP connection.
const dialTimeout = 2 * time.Second

// TCP is the Network of the operating system.
type TCP struct{}

// Dial opens a TCP connection.
func (TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive(), Control: setUserTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	return conn, errors.Wrapf(err, "dial %s", address)
}

// Listen accepts TCP connections.
func (TCP) Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive(), Control: setUserTimeout}
	listener, err := config.Listen(ctx, "tcp", address)
	return listener, errors.Wrapf(err, "listen on %s", address)
}
