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

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/coordination/callrecord"
	"github.com/wasabiport/wasabiport/coordination/keyowner"
	"github.com/wasabiport/wasabiport/coordination/quarantine"
	"github.com/wasabiport/wasabiport/protocol/httpmap"
	"github.com/wasabiport/wasabiport/state"
	"github.com/wasabiport/wasabiport/transport/callstream"
	"github.com/wasabiport/wasabiport/transport/guard"
	"github.com/wasabiport/wasabiport/transport/metrics"
	"github.com/wasabiport/wasabiport/transport/network"
)

const backendAddress = "192.0.2.7:8080"

// alone is a fleet without other guards.
type alone struct{}

func (alone) NotifyGuards([]quarantine.Notice) {}

// rig is a guard with the one backend server "desk-0".
type rig struct {
	t       *testing.T
	network *network.Memory
	guard   *guard.Guard

	snapshots *state.SnapshotStore
}

func newRig(t *testing.T, connections int) *rig {
	builder := state.NewSnapshotBuilder(nil)
	builder.Set(state.Resources{
		Services: []state.Service{{Name: "desk", QueueLimits: [state.ClassCount]int{8, 8, 8, 8}}},
		BackendServers: []state.BackendServer{{
			Name: "desk-0", Service: "desk", Host: "host-0", Address: backendAddress, Slots: 6, Connections: connections,
		}},
	})
	snapshots := state.NewSnapshotStore(1)
	require.True(t, snapshots.Swap(builder.Build(1, 1)))
	memory := network.NewMemory()
	decisions := guard.Policies{
		Records:   callrecord.New(callrecord.Config{Started: time.Now().Add(-time.Hour)}),
		Suspects:  quarantine.NewTracker(quarantine.Config{}),
		KeyOwners: keyowner.NewHistory(time.Hour),
	}
	limits, err := metrics.NewLineLimiters(prometheus.NewRegistry())
	require.NoError(t, err)
	log := guard.Logging{Logger: logr.Discard(), CallLineLimit: limits.Guard}
	return &rig{
		t: t, snapshots: snapshots, network: memory,
		guard: guard.New("host-0", httpmap.Back{}, snapshots, decisions, alone{}, memory, log),
	}
}

// serve answers each connection to the backend server with handle.
func (r *rig) serve(handle func(conn net.Conn)) {
	listener, err := r.network.Listen(r.t.Context(), backendAddress)
	require.NoError(r.t, err)
	r.t.Cleanup(func() { _ = listener.Close() })
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

func (r *rig) do(method, key string) (*callstream.Reply, *state.Refusal) {
	return r.doWith(r.t.Context(), method, key, nil)
}

func (r *rig) doWith(ctx context.Context, method, key string, body io.Reader) (*callstream.Reply, *state.Refusal) {
	head := call.Head{
		ID: "id-1", Ticket: 1, BackendServer: "desk-0", Class: state.ClassHigh,
		Deadline: time.Now().Add(time.Second), IdempotencyKey: key,
		Method: method, Target: "/", Authority: "desk.example",
	}
	if key != "" {
		head.Fields = []call.Field{{Name: "Idempotency-Key", Value: key}}
	}
	if body != nil {
		head.ContentLength = -1
	}
	ctx, cancel := context.WithDeadline(ctx, head.Deadline)
	r.t.Cleanup(cancel)
	return r.guard.Handle(ctx, head, body)
}

func (r *rig) finish(reply *callstream.Reply, refusal *state.Refusal) {
	require.Nil(r.t, refusal)
	_, err := io.Copy(io.Discard, reply.Body)
	require.NoError(r.t, err)
	require.NoError(r.t, reply.Body.Close())
}
