package peering

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/protocol/handshake"
)

// hangTimeout ends a test that hangs. It does not affect the result otherwise.
const hangTimeout = 10 * time.Second

// stuckConn is a connection whose Close does not return until it is released.
type stuckConn struct {
	net.Conn
	release chan struct{}
}

func (c *stuckConn) Close() error {
	<-c.release
	return c.Conn.Close()
}

// muxPair is a multiplexer on a stuck connection, and its peer.
type muxPair struct {
	near, far *mux
	conn      *stuckConn
	// farConn is the peer's connection.
	farConn net.Conn
}

func startMuxPair(t *testing.T) muxPair {
	nearConn, farConn := net.Pipe()
	conn := &stuckConn{Conn: nearConn, release: make(chan struct{})}
	near, err := startMux(conn, handshake.LaneUrgent, true)
	require.NoError(t, err)
	far, err := startMux(farConn, handshake.LaneUrgent, false)
	require.NoError(t, err)
	t.Cleanup(func() {
		require.NoError(t, near.Close())
		require.NoError(t, far.Close())
	})
	return muxPair{near: near, far: far, conn: conn, farConn: farConn}
}

// Guards against readers and writers that use a core until the connection of a
// closing session is closed, which may take seconds.
func TestStreamsEndBeforeConnectionIsClosed(t *testing.T) {
	const moreThanWindow = 1 << 20
	blocked := map[string]func(*stream) error{
		"read": func(s *stream) error {
			_, err := s.Read(make([]byte, 1))
			return err
		},
		"write": func(s *stream) error {
			_, err := s.Write(make([]byte, moreThanWindow))
			return err
		},
	}
	closed := map[string]func(muxPair){
		"by this node": func(p muxPair) { _ = p.near.Close() },
		"by the peer":  func(p muxPair) { _ = p.farConn.Close() },
	}
	for operation, run := range blocked {
		for by, closeSession := range closed {
			t.Run(operation+", closed "+by, func(t *testing.T) {
				pair := startMuxPair(t)
				defer close(pair.conn.release)
				opened, err := pair.near.open()
				require.NoError(t, err)
				_, err = pair.far.accept(t.Context())
				require.NoError(t, err)
				ended := make(chan error, 1)
				go func() { ended <- run(opened) }()
				go closeSession(pair)
				select {
				case err := <-ended:
					require.Error(t, err)
				case <-time.After(hangTimeout):
					t.Fatal("the stream is still in use while the connection is being closed")
				}
				require.NoError(t, opened.SetDeadline(time.Now().Add(time.Hour)))
				_, err = opened.Read(make([]byte, 1))
				require.Error(t, err, "a later deadline does not make reads wait again")
			})
		}
	}
}

func TestStreamOpenedWhileSessionEndsIsInterrupted(t *testing.T) {
	pair := startMuxPair(t)
	defer close(pair.conn.release)
	opened, err := pair.near.OpenStream()
	require.NoError(t, err)
	pair.near.streams.interrupt()
	_, err = pair.near.streams.add(opened).Read(make([]byte, 1))
	require.Error(t, err)
}

// Guards against a session whose end takes as long as its peer likes.
func TestSecuredConnectionIsClosedWithinTimeout(t *testing.T) {
	below, peer := net.Pipe()
	defer func() { require.NoError(t, peer.Close()) }()
	secured := &stuckConn{Conn: below, release: make(chan struct{})}
	ended := make(chan error, 1)
	go func() { ended <- closeWithin(secured, releasingConn{Conn: below, release: secured.release}) }()
	select {
	case err := <-ended:
		require.NoError(t, err)
	case <-time.After(hangTimeout):
		t.Fatal("the connection is not closed")
	}
}

// releasingConn releases a stuckConn when the connection below it is closed.
type releasingConn struct {
	net.Conn
	release chan struct{}
}

func (c releasingConn) Close() error {
	close(c.release)
	return c.Conn.Close()
}
