package peering

import (
	"bytes"
	"io"
	"net"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/protocol/handshake"
)

// countingConn counts the writes on a connection.
type countingConn struct {
	net.Conn
	writes atomic.Int64
}

func (c *countingConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(p)
}

// Guards against two packets, and two wake-ups of the peer, for each message.
func TestFrameIsWrittenAtOnce(t *testing.T) {
	nearConn, farConn := net.Pipe()
	counting := &countingConn{Conn: nearConn}
	near, err := startMux(counting, handshake.LaneUrgent, true)
	require.NoError(t, err)
	far, err := startMux(farConn, handshake.LaneUrgent, false)
	require.NoError(t, err)
	defer func() { require.NoError(t, far.Close()) }()
	defer func() { require.NoError(t, near.Close()) }()
	sender, err := near.open()
	require.NoError(t, err)
	receiver, err := far.accept(t.Context())
	require.NoError(t, err)
	sizes := []int{1, 100, maxJoinedBytes - frameHeaderBytes, maxJoinedBytes, 100_000}
	frames := 0
	for _, size := range sizes {
		sent := bytes.Repeat([]byte{byte(size)}, size)
		before := counting.writes.Load()
		written := make(chan error, 1)
		go func() {
			_, err := sender.Write(sent)
			written <- err
		}()
		received := make([]byte, size)
		_, err := io.ReadFull(receiver, received)
		require.NoError(t, err)
		require.NoError(t, <-written)
		require.Equal(t, sent, received)
		if size+frameHeaderBytes <= maxJoinedBytes {
			frames++
			require.Equal(t, int64(1), counting.writes.Load()-before, "%d bytes", size)
		}
	}
	require.Equal(t, 3, frames)
}
