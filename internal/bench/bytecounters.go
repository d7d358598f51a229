package bench

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/wasabiport/wasabiport/transport/network"
)

// byteCounters counts the bytes that one node sends and receives. It is safe for
// concurrent use.
type byteCounters struct {
	peers  atomic.Int64
	source atomic.Int64
}

// total returns the bytes sent to and received from peers and source.
func (c *byteCounters) total() int64 { return c.peers.Load() + c.source.Load() }

// countingNetwork is a TCP network that counts the bytes of its connections.
type countingNetwork struct {
	network.TCP
	bytes *atomic.Int64
}

// Dial opens a connection whose bytes are counted.
func (n countingNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := n.TCP.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: conn, bytes: n.bytes}, nil
}

// Listen returns a listener that counts the bytes of accepted connections.
func (n countingNetwork) Listen(ctx context.Context, address string) (net.Listener, error) {
	listener, err := n.TCP.Listen(ctx, address)
	if err != nil {
		return nil, err
	}
	return countingListener{Listener: listener, bytes: n.bytes}, nil
}

type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: conn, bytes: l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// countingClient returns an HTTP client that counts the bytes of its
// connections.
func countingClient(bytes *atomic.Int64) *http.Client {
	counted := countingNetwork{bytes: bytes}
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return counted.Dial(ctx, address)
		},
	}}
}
