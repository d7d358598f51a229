package guard_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/coordination/admission"
	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/coordination/callrecord"
	"github.com/wasabiport/wasabiport/coordination/keyowner"
	"github.com/wasabiport/wasabiport/coordination/quarantine"
	"github.com/wasabiport/wasabiport/coordination/repeats"
	"github.com/wasabiport/wasabiport/coordination/retry"
	"github.com/wasabiport/wasabiport/protocol/httpmap"
	"github.com/wasabiport/wasabiport/state"
	"github.com/wasabiport/wasabiport/transport/callstream"
	"github.com/wasabiport/wasabiport/transport/guard"
	"github.com/wasabiport/wasabiport/transport/metrics"
	"github.com/wasabiport/wasabiport/transport/network"
)

const backendAddress = "192.0.2.7:8080"

// noPeers is a fleet without other guards.
type noPeers struct{}

func (noPeers) NotifyGuards([]quarantine.Notice) {}

// fixture is a guard with a single backend server, "desk-0".
type fixture struct {
	t *testing.T
	// network is nil if the backend server is reached over another one.
	network *network.Memory
	guard   *guard.Guard

	snapshots *state.SnapshotStore
	budget    *retry.Budget
	repeats   *repeats.Tracker
}

func newFixture(t *testing.T, connections int) *fixture {
	return newFixtureWithMapper(t, connections, httpmap.BackendMapper{})
}

func newFixtureWithMapper(t *testing.T, connections int, mapper guard.BackendMapper) *fixture {
	return newFixtureWith(t, connections, mapper, nil)
}

// newFixtureWithLink returns a fixture whose host has a limited link.
func newFixtureWithLink(t *testing.T, connections int, link *admission.Link) *fixture {
	return newFixtureWith(t, connections, httpmap.BackendMapper{}, link)
}

func newFixtureWith(t *testing.T, connections int, mapper guard.BackendMapper, link *admission.Link) *fixture {
	memory := network.NewMemory()
	f := newFixtureOn(t, memory, connections, mapper, link)
	f.network = memory
	return f
}

// newFixtureOn returns a fixture whose backend server is reached over a network.
func newFixtureOn(
	t *testing.T,
	backendNetwork network.Network,
	connections int,
	mapper guard.BackendMapper,
	link *admission.Link,
) *fixture {
	builder := state.NewSnapshotBuilder(nil)
	builder.Set(state.Resources{
		Services: []state.Service{{Name: "desk", QueueLimits: [state.ClassCount]int{8, 8, 8, 8}}},
		BackendServers: []state.BackendServer{{
			Name: "desk-0", Service: "desk", Host: "host-0", Zone: "north", Address: backendAddress, Slots: 6, Connections: connections,
		}},
	})
	snapshots := state.NewSnapshotStore(1)
	require.True(t, snapshots.Swap(builder.Build(1, 1)))
	budget := retry.NewBudget(retry.BudgetConfig{})
	tracker := repeats.NewTracker(budget)
	policies := guard.Policies{
		Records:   callrecord.New(callrecord.Config{Started: time.Now().Add(-time.Hour)}),
		Suspects:  quarantine.NewTracker(quarantine.Config{}),
		KeyOwners: keyowner.NewHistory(time.Hour),
		Repeats:   tracker,
		Link:      link,
	}
	limiters, err := metrics.NewLineLimiters(prometheus.NewRegistry())
	require.NoError(t, err)
	logging := guard.Logging{Logger: logr.Discard(), CallLineLimit: limiters.Guard, ReportLineLimit: limiters.Reports}
	return &fixture{
		t: t, snapshots: snapshots, budget: budget, repeats: tracker,
		guard: guard.New("host-0", mapper, snapshots, policies, noPeers{}, backendNetwork, logging),
	}
}

// serve runs handle for each connection to the backend server.
func (f *fixture) serve(handle func(conn net.Conn)) {
	listener, err := f.network.Listen(f.t.Context(), backendAddress)
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = listener.Close() })
	serveConns(listener, handle)
}

// serveConns runs handle for each connection of a listener.
func serveConns(listener net.Listener, handle func(conn net.Conn)) {
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go handle(conn)
		}
	}()
}

func (f *fixture) do(method, key string) (*callstream.Reply, *state.Refusal) {
	return f.doWith(f.t.Context(), method, key, nil)
}

// doIdempotent runs a call that can safely run more than once.
func (f *fixture) doIdempotent(method string) (*callstream.Reply, *state.Refusal) {
	head := newHead(method, "")
	head.Idempotent = true
	return f.doHead(f.t.Context(), head, nil)
}

func (f *fixture) doWith(ctx context.Context, method, key string, body io.Reader) (*callstream.Reply, *state.Refusal) {
	head := newHead(method, key)
	if body != nil {
		head.ContentLength = -1
	}
	return f.doHead(ctx, head, body)
}

func newHead(method, key string) call.Head {
	head := call.Head{
		ID: "id-1", Ticket: 1, BackendServer: "desk-0", Class: state.ClassHigh,
		Deadline: time.Now().Add(time.Second), IdempotencyKey: key,
		Method: method, Target: "/", Authority: "desk.example",
	}
	if key != "" {
		head.Fields = []call.Field{{Name: "Idempotency-Key", Value: key}}
	}
	return head
}

func (f *fixture) doHead(ctx context.Context, head call.Head, body io.Reader) (*callstream.Reply, *state.Refusal) {
	ctx, cancel := context.WithDeadline(ctx, head.Deadline)
	f.t.Cleanup(cancel)
	return f.guard.Handle(ctx, head, body)
}

func (f *fixture) finish(reply *callstream.Reply, refusal *state.Refusal) {
	require.Nil(f.t, refusal)
	_, err := io.Copy(io.Discard, reply.Body)
	require.NoError(f.t, err)
	require.NoError(f.t, reply.Body.Close())
}
