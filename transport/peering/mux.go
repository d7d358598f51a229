package peering

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"

	"github.com/wasabiport/wasabiport/protocol/handshake"
)

// mux is the multiplexer of a session with its open streams.
type mux struct {
	*yamux.Session
	streams *streamSet
}

func startMux(conn net.Conn, lane handshake.Lane, dialed bool) (*mux, error) {
	config := yamux.DefaultConfig()
	config.AcceptBacklog = acceptBacklog
	config.KeepAliveInterval = callKeepAliveInterval
	if lane == handshake.LaneControl {
		config.KeepAliveInterval = controlKeepAliveInterval
	}
	config.ConnectionWriteTimeout = writeTimeout
	config.LogOutput = discard{}
	start := yamux.Server
	if dialed {
		start = yamux.Client
	}
	streams := newStreamSet()
	session, err := start(&muxConn{Conn: conn, streams: streams}, config)
	if err != nil {
		return nil, err
	}
	return &mux{Session: session, streams: streams}, nil
}

func (m *mux) open() (*stream, error) {
	opened, err := m.OpenStream()
	if err != nil {
		return nil, errors.Wrap(err, "open stream")
	}
	return m.streams.add(opened), nil
}

func (m *mux) accept(ctx context.Context) (*stream, error) {
	accepted, err := m.AcceptStreamWithContext(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "accept stream")
	}
	return m.streams.add(accepted), nil
}

// openControl returns the control stream of a session: the dialing side opens
// it and the other side accepts it.
func openControl(ctx context.Context, mux *mux, dialed bool) (*stream, error) {
	if dialed {
		return mux.open()
	}
	return mux.accept(ctx)
}

// muxConn is the connection below a multiplexer. A multiplexer that ends wakes the
// blocked readers and writers of its streams, closes the connection and waits for
// its receiver, and only then ends the streams. Until then, a read or write that
// has no deadline would try again without blocking.
type muxConn struct {
	net.Conn
	streams *streamSet
	frames  frameWriter
}

// Write writes what the multiplexer sends. It is called by one goroutine.
func (c *muxConn) Write(p []byte) (int, error) { return c.frames.write(c.Conn, p) }

// Close interrupts the streams and closes the connection.
func (c *muxConn) Close() error {
	c.streams.interrupt()
	return c.Conn.Close()
}

// closeTimeout is the time limit for the last message of a secured connection.
const closeTimeout = time.Second

// closeWithin closes a secured connection. The connection below it is closed after
// closeTimeout, so that a peer that reads nothing does not delay the end of a
// session.
func closeWithin(secured, below net.Conn) error {
	abort := time.AfterFunc(closeTimeout, func() { _ = below.Close() })
	defer abort.Stop()
	return secured.Close()
}

// discard drops the multiplexer's log output: the node receives the same
// failures as errors.
type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }
