package bench

import (
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestResultsAreComparedWithTargets(t *testing.T) {
	var observed latencies
	for i := range 100 {
		observed.add(time.Duration(i+1) * time.Millisecond)
	}
	met := below("p99", observed.quantile(0.99), 100, unitMilliseconds)
	require.Equal(t, 99.0, met.Value)
	require.True(t, *met.Met)
	require.False(t, *below("max", observed.quantile(1), 100, unitMilliseconds).Met)
	require.Nil(t, informational("p50", observed.quantile(0.5), unitMilliseconds).Met)
}

func TestFleetCountsBytesAndRestartsHosts(t *testing.T) {
	f, err := startFleet(t.Context(), 1, 3, 1)
	require.NoError(t, err)
	defer f.stop()
	for _, member := range f.members {
		require.Positive(t, member.byteCounters.total())
	}
	f.members[2].node.Shutdown()
	require.NoError(t, f.source.publish(changeTicket(2, 3, 1)))
	require.NoError(t, f.startNode(t.Context(), f.members[2]))
	require.NoError(t, f.awaitTicket(t.Context(), 2))
}

func TestCountingNetworkCountsBothDirections(t *testing.T) {
	var dialed, accepted atomic.Int64
	listener, err := countingNetwork{bytes: &accepted}.Listen(t.Context(), "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	clientEnd, err := countingNetwork{bytes: &dialed}.Dial(t.Context(), listener.Addr().String())
	require.NoError(t, err)
	defer clientEnd.Close()
	serverEnd, err := listener.Accept()
	require.NoError(t, err)
	defer serverEnd.Close()
	_, err = clientEnd.Write([]byte("hello"))
	require.NoError(t, err)
	_, err = io.ReadFull(serverEnd, make([]byte, 5))
	require.NoError(t, err)
	_, err = serverEnd.Write([]byte("hi"))
	require.NoError(t, err)
	_, err = io.ReadFull(clientEnd, make([]byte, 2))
	require.NoError(t, err)
	require.Equal(t, []int64{7, 7}, []int64{dialed.Load(), accepted.Load()})
}
