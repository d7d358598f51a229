package peering

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/coordination/control"
	limit "github.com/wasabiport/wasabiport/coordination/handshake"
	"github.com/wasabiport/wasabiport/protocol/handshake"
	"github.com/wasabiport/wasabiport/state"
	"github.com/wasabiport/wasabiport/transport/events"
	"github.com/wasabiport/wasabiport/transport/network"
)

// lockedBuffer is a log buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.String()
}

// testNode is a pool on an in-memory network that records the messages it
// receives and echoes the bytes of calls.
type testNode struct {
	t        *testing.T
	host     state.Host
	pool     *Pool
	listener net.Listener
	log      lockedBuffer

	mu       sync.Mutex
	received []control.Message
	sessions map[state.HostName]int
	// block, when not nil, blocks Receive until it is closed.
	block chan struct{}
}

func testHost(name string) state.Host {
	return state.Host{Name: state.HostName(name), Zone: "north", PeerAddress: name + ":7001"}
}

func startNode(t *testing.T, testNetwork network.Network, name string, changes ...func(*Config)) *testNode {
	n := &testNode{t: t, host: testHost(name), sessions: make(map[state.HostName]int)}
	logger, err := events.NewLogger(&n.log, events.FormatText, events.LevelDebug)
	require.NoError(t, err)
	config := DefaultConfig()
	config.Self, config.Incarnation, config.Logger = n.host, 1, logger
	for _, change := range changes {
		change(&config)
	}
	metrics, err := NewMetrics(prometheus.NewRegistry())
	require.NoError(t, err)
	limiter := limit.NewLimiter(limit.Config{PerSecond: 1, Burst: 3, MaxRetryAfter: 10 * time.Second}, rand.New(rand.NewPCG(1, 1)))
	n.pool = NewPool(config, testNetwork, Plaintext{}, n, limiter, metrics)
	n.listener, err = testNetwork.Listen(t.Context(), n.host.PeerAddress)
	require.NoError(t, err)
	go func() { _ = n.pool.Serve(n.listener) }()
	return n
}

func (n *testNode) stop() {
	require.NoError(n.t, n.listener.Close())
	n.pool.Shutdown()
}

func (n *testNode) maintainSession(peer *testNode) context.CancelFunc {
	ctx, cancel := context.WithCancel(context.Background())
	go n.pool.MaintainSession(ctx, peer.host)
	return cancel
}

func (n *testNode) Receive(_ state.HostName, message control.Message) {
	if n.block != nil {
		<-n.block
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.received = append(n.received, message)
}

func (n *testNode) Connected(host state.HostName) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sessions[host]++
}

func (n *testNode) Disconnected(host state.HostName) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sessions[host]--
}

func (*testNode) ServeCall(_ context.Context, stream net.Conn) { _, _ = io.Copy(stream, stream) }

func (n *testNode) sessionsTo(peer *testNode) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sessions[peer.host.Name]
}

func (n *testNode) messages() []control.Message {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.received
}

// echo sends one byte to a peer in a call and waits until the peer returns it.
func (n *testNode) echo(peer state.Host, lane handshake.Lane) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	stream, err := n.pool.OpenCall(ctx, peer, lane)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	if _, err := stream.Write([]byte("x")); err != nil {
		return err
	}
	_, err = io.ReadFull(stream, make([]byte, 1))
	return err
}

func (n *testNode) metricValue(collector prometheus.Collector) float64 {
	return testutil.ToFloat64(collector)
}
