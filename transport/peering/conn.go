package peering

import (
	"net"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"

	"github.com/wasabiport/wasabiport/protocol/frame"
)

// side tells which end of a session this node is.
type side uint8

const (
	dialingSide side = iota
	acceptingSide
)

func startMux(conn bufferedConn, own side) (*yamux.Session, error) {
	if own == dialingSide {
		return yamux.Client(conn, muxConfig())
	}
	return yamux.Server(conn, muxConfig())
}

// bufferedConn reads the bytes that were buffered during the handshake before
// those of the connection.
type bufferedConn struct {
	net.Conn
	reader *frame.Reader
}

func (c bufferedConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// openControl returns the control stream of a session: the dialing side opens
// it and the other side accepts it.
func openControl(mux *yamux.Session, own side) (net.Conn, error) {
	if own == dialingSide {
		stream, err := mux.OpenStream()
		return stream, errors.Wrap(err, "open the control stream")
	}
	stream, err := mux.AcceptStream()
	return stream, errors.Wrap(err, "accept the control stream")
}
