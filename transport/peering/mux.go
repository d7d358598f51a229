package peering

import (
	"bufio"
	"context"
	"net"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"

	"github.com/wasabiport/wasabiport/protocol/handshake"
)

// helloBufferBytes is the size of the read buffer for the hello. The buffer is
// released once the multiplexer has read the bytes left in it.
const helloBufferBytes = 512

// helloConn is a connection that first returns the bytes that were buffered
// during the handshake.
type helloConn struct {
	net.Conn
	hello *bufio.Reader
}

func (c *helloConn) Read(p []byte) (int, error) {
	if c.hello == nil {
		return c.Conn.Read(p)
	}
	if c.hello.Buffered() > 0 {
		return c.hello.Read(p)
	}
	c.hello = nil
	return c.Conn.Read(p)
}

func startMux(conn net.Conn, lane handshake.Lane, dialed bool) (*yamux.Session, error) {
	config := yamux.DefaultConfig()
	config.AcceptBacklog = acceptBacklog
	config.KeepAliveInterval = callKeepAliveInterval
	if lane == handshake.LaneControl {
		config.KeepAliveInterval = controlKeepAliveInterval
	}
	config.ConnectionWriteTimeout = writeTimeout
	config.LogOutput = discard{}
	if dialed {
		return yamux.Client(conn, config)
	}
	return yamux.Server(conn, config)
}

// openControl returns the control stream of a session: the dialing side opens
// it and the other side accepts it.
func openControl(ctx context.Context, mux *yamux.Session, dialed bool) (net.Conn, error) {
	if dialed {
		stream, err := mux.OpenStream()
		return stream, errors.Wrap(err, "open control stream")
	}
	stream, err := mux.AcceptStreamWithContext(ctx)
	return stream, errors.Wrap(err, "accept control stream")
}

// discard drops the multiplexer's log output: the node receives the same
// failures as errors.
type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }
