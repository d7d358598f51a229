package peering

import (
	"encoding/binary"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/coordination/control"
	"github.com/wasabiport/wasabiport/internal/virtualtime"
	"github.com/wasabiport/wasabiport/protocol/frame"
	"github.com/wasabiport/wasabiport/protocol/handshake"
	"github.com/wasabiport/wasabiport/protocol/wirepb"
	"github.com/wasabiport/wasabiport/state"
	"github.com/wasabiport/wasabiport/transport/network"
)

func TestSimultaneousDialsKeepOneSession(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		memory := network.NewMemory()
		a, b := startNode(t, memory, "a"), startNode(t, memory, "b")
		defer b.stop()
		defer a.stop()
		defer a.maintainSession(b)()
		defer b.maintainSession(a)()
		time.Sleep(time.Minute)
		require.Equal(t, []int{1, 1}, []int{a.sessionsTo(b), b.sessionsTo(a)})
		require.Equal(t, 1.0, a.metricValue(a.pool.metrics.sessions))
		require.Equal(t, 1.0, b.metricValue(b.pool.metrics.sessions))
		require.NoError(t, a.pool.Send("b", control.TicketsRequest{After: 3}))
		require.NoError(t, b.pool.Send("a", control.TicketsRequest{After: 4}))
		synctest.Wait()
		require.Equal(t, []control.Message{control.TicketsRequest{After: 3}}, b.messages())
		require.Equal(t, []control.Message{control.TicketsRequest{After: 4}}, a.messages())
	})
}

func TestBothSidesKeepTheSameSession(t *testing.T) {
	newSession := func(dialer state.HostName, incarnation uint64) *session {
		near, far := net.Pipe()
		mux, err := startMux(near, handshake.LaneControl, true)
		require.NoError(t, err)
		t.Cleanup(func() { require.NoError(t, mux.Close()); _ = far.Close() })
		return &session{peerConn: peerConn{dialer: dialer, peer: handshake.Hello{Incarnation: incarnation}}, mux: mux}
	}
	tests := []struct {
		name     string
		old, new *session
		replaces bool
	}{
		{"dialed later by the smaller name", newSession("b", 1), newSession("a", 1), true},
		{"dialed earlier by the smaller name", newSession("a", 1), newSession("b", 1), false},
		{"dialed again", newSession("b", 1), newSession("b", 1), true},
		{"peer restarted", newSession("a", 1), newSession("b", 2), true},
		{"delayed session of an earlier incarnation", newSession("b", 2), newSession("a", 1), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, test.replaces, test.new.replaces(test.old))
		})
	}
	closed := newSession("a", 9)
	require.NoError(t, closed.mux.Close())
	require.True(t, newSession("b", 1).replaces(closed))
}

// sendRawControl opens a control session without a Pool and sends raw bytes over
// its control stream.
func sendRawControl(t *testing.T, memory *network.Memory, peer *testNode, raw []byte) *mux {
	conn, err := memory.Dial(t.Context(), peer.host.PeerAddress)
	require.NoError(t, err)
	require.NoError(t, handshake.Send(conn, handshake.Hello{Host: "bad", Zone: "north", Incarnation: 1, Lane: handshake.LaneControl}))
	reader := newHelloReader(conn)
	_, err = handshake.Receive(reader)
	require.NoError(t, err)
	mux, err := startMux(&helloConn{Conn: conn, hello: reader}, handshake.LaneControl, true)
	require.NoError(t, err)
	stream, err := mux.OpenStream()
	require.NoError(t, err)
	// The peer may close the session before Write returns.
	if _, err = stream.Write(raw); !errors.Is(err, yamux.ErrSessionShutdown) {
		require.NoError(t, err)
	}
	return mux
}

func TestMalformedMessageClosesOnlyItsSession(t *testing.T) {
	tests := []struct {
		name string
		raw  []byte
	}{
		{"not protobuf", []byte{2, 0xff, 0xff}},
		{"no body", []byte{0}},
		{"oversized", binary.AppendUvarint(nil, maxControlBytes+1)},
		{"overlong length", []byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				memory := network.NewMemory()
				a, b := startNode(t, memory, "a"), startNode(t, memory, "b")
				defer b.stop()
				defer a.stop()
				defer a.maintainSession(b)()
				synctest.Wait()
				mux := sendRawControl(t, memory, a, test.raw)
				<-mux.CloseChan()
				synctest.Wait()
				require.Contains(t, a.log.String(), "event=406 peer=bad")
				require.Equal(t, 1.0, a.metricValue(a.pool.metrics.malformed))
				require.Equal(t, 1, a.sessionsTo(b))
				require.NoError(t, a.pool.Send("b", control.TicketsRequest{After: 1}))
				synctest.Wait()
				require.Len(t, b.messages(), 1)
			})
		})
	}
}

func TestRefusedHandshakeRetriesAfterDelay(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		memory := network.NewMemory()
		a := startNode(t, memory, "a")
		defer a.stop()
		for _, name := range []string{"b", "c", "d", "e", "f", "g"} {
			peer := startNode(t, memory, name)
			defer peer.stop()
			defer peer.maintainSession(a)()
		}
		synctest.Wait()
		require.Equal(t, 3.0, a.metricValue(a.pool.metrics.sessions), "limiter burst")
		require.Equal(t, 3.0, a.metricValue(a.pool.metrics.handshakes.WithLabelValues(resultRefused)))
		require.Contains(t, a.log.String(), `event=403 peer="" reason="too many handshakes"`)
		time.Sleep(time.Minute)
		require.Equal(t, 6.0, a.metricValue(a.pool.metrics.sessions))
		require.Less(t, a.metricValue(a.pool.metrics.handshakes.WithLabelValues(resultRefused)), 12.0, "retries of refused handshakes are spread out")
	})
}

func TestConcurrentHandshakesPerAddressAreLimited(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		memory := network.NewMemory()
		a := startNode(t, memory, "a", func(c *Config) { c.MaxHandshakesPerAddress = 4 })
		b := startNode(t, memory, "b")
		defer b.stop()
		defer a.stop()
		var flood []net.Conn
		for range 10 {
			conn, err := memory.Dial(t.Context(), a.host.PeerAddress)
			require.NoError(t, err)
			flood = append(flood, conn)
		}
		synctest.Wait()
		require.Equal(t, 6.0, a.metricValue(a.pool.metrics.handshakes.WithLabelValues(resultFlood)))
		time.Sleep(a.pool.config.HandshakeTimeout)
		synctest.Wait()
		require.Equal(t, 4.0, a.metricValue(a.pool.metrics.handshakes.WithLabelValues(resultFailed)), "silent handshakes time out")
		for _, conn := range flood {
			_, err := conn.Read(make([]byte, 1))
			require.Error(t, err)
		}
		defer b.maintainSession(a)()
		synctest.Wait()
		require.Equal(t, 1, a.sessionsTo(b))
	})
}

func TestTooManySessionsAreRefused(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		memory := network.NewMemory()
		a := startNode(t, memory, "a", func(c *Config) { c.MaxSessions = 1 })
		b, c := startNode(t, memory, "b"), startNode(t, memory, "c")
		defer c.stop()
		defer b.stop()
		defer a.stop()
		require.NoError(t, b.echo(a.host, handshake.LaneBulk))
		err := c.echo(a.host, handshake.LaneBulk)
		require.ErrorContains(t, err, "too many sessions")
		time.Sleep(2 * b.pool.config.IdleTimeout)
		require.NoError(t, c.echo(a.host, handshake.LaneBulk), "the idle session is closed")
	})
}

func TestSlowPeerDoesNotBlockOthers(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		memory := network.NewMemory()
		a := startNode(t, memory, "a", func(c *Config) { c.SendQueueLength = 8 })
		slow, quick := startNode(t, memory, "slow"), startNode(t, memory, "quick")
		slow.block = make(chan struct{})
		defer quick.stop()
		defer slow.stop()
		defer a.stop()
		defer close(slow.block)
		defer a.maintainSession(slow)()
		defer a.maintainSession(quick)()
		synctest.Wait()
		large := control.Tickets{Tickets: []state.Ticket{{Number: 1, Malformed: []state.ValidationError{{Reason: string(make([]byte, 200<<10))}}}}}
		for range 32 {
			_ = a.pool.Send("slow", large)
			require.NoError(t, a.pool.Send("quick", control.TicketsRequest{After: 1}))
			synctest.Wait()
		}
		require.Len(t, quick.messages(), 32)
		require.Positive(t, a.metricValue(a.pool.metrics.dropped))
		require.Equal(t, 1, a.sessionsTo(slow))
		time.Sleep(writeTimeout)
		synctest.Wait()
		require.Zero(t, a.sessionsTo(slow), "the session of a peer that reads nothing is closed")
	})
}

func TestIdleCallSessionsAreClosed(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		memory := network.NewMemory()
		a, b := startNode(t, memory, "a"), startNode(t, memory, "b")
		defer b.stop()
		defer a.stop()
		require.NoError(t, a.echo(b.host, handshake.LaneUrgent))
		require.NoError(t, b.echo(a.host, handshake.LaneUrgent))
		require.Equal(t, 1.0, a.metricValue(a.pool.metrics.sessions), "both sides share one session")
		time.Sleep(a.pool.config.IdleTimeout * 3 / 4)
		require.NoError(t, b.echo(a.host, handshake.LaneUrgent), "opens a new session")
		require.Equal(t, 2.0, a.metricValue(a.pool.metrics.sessions))
		time.Sleep(3 * a.pool.config.IdleTimeout)
		require.Zero(t, a.metricValue(a.pool.metrics.sessions))
		require.NoError(t, a.echo(b.host, handshake.LaneUrgent))
	})
}

func TestMovedHostIsDialedAtNewAddress(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		memory := network.NewMemory()
		a, b := startNode(t, memory, "a"), startNode(t, memory, "b")
		defer b.stop()
		defer a.stop()
		require.NoError(t, a.echo(b.host, handshake.LaneBulk))
		moved := b.host
		moved.PeerAddress = "elsewhere:7001"
		require.Error(t, a.echo(moved, handshake.LaneBulk), "no listener at the new address yet")
		listener, err := memory.Listen(t.Context(), moved.PeerAddress)
		require.NoError(t, err)
		defer func() { require.NoError(t, listener.Close()) }()
		go func() { _ = b.pool.Serve(listener) }()
		require.NoError(t, a.echo(moved, handshake.LaneBulk))
		synctest.Wait() // The session is closed in the background.
		require.Equal(t, 1.0, a.metricValue(a.pool.metrics.sessions), "the session to the old address is closed")
		require.Equal(t, 1.0, b.metricValue(b.pool.metrics.sessions), "and its other end")
	})
}

func TestStreamsPerSessionAreLimited(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		memory := network.NewMemory()
		a, b := startNode(t, memory, "a"), startNode(t, memory, "b", func(c *Config) { c.MaxStreams = 2 })
		defer b.stop()
		defer a.stop()
		for range 2 {
			stream, err := a.pool.OpenCall(t.Context(), b.host, handshake.LaneBulk)
			require.NoError(t, err)
			defer func() { require.NoError(t, stream.Close()) }()
		}
		require.Error(t, a.echo(b.host, handshake.LaneBulk))
		require.Equal(t, 1.0, b.metricValue(b.pool.metrics.refused))
	})
}

func TestFlushWaitsForQueuedMessages(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		memory := network.NewMemory()
		a, b := startNode(t, memory, "a"), startNode(t, memory, "b")
		defer b.stop()
		defer a.maintainSession(b)()
		synctest.Wait()
		for range 100 {
			require.NoError(t, a.pool.Send("b", control.TicketsRequest{After: 1}))
		}
		require.NoError(t, a.pool.Flush(t.Context()))
		a.stop()
		synctest.Wait()
		require.Len(t, b.messages(), 100)
	})
}

func TestPeerWithUnexpectedNameIsRejected(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		memory := network.NewMemory()
		a, b := startNode(t, memory, "a"), startNode(t, memory, "b")
		defer b.stop()
		defer a.stop()
		other := b.host
		other.Name = "c"
		require.ErrorIs(t, a.echo(other, handshake.LaneBulk), ErrIdentityMismatch)
		conn, err := memory.Dial(t.Context(), b.host.PeerAddress)
		require.NoError(t, err)
		require.NoError(t, frame.Write(conn, &wirepb.Hello{Version: handshake.Version + 1, Host: "c"}))
		_, err = conn.Read(make([]byte, 1))
		require.Error(t, err)
		synctest.Wait()
		require.Equal(t, 1.0, b.metricValue(b.pool.metrics.handshakes.WithLabelValues(resultMalformed)))
	})
}
