// Package guard runs calls at the backend servers of its own host. It is the
// only one that opens connections to them.
package guard

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/wasabiport/wasabiport/coordination/admission"
	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/state"
	"github.com/wasabiport/wasabiport/transport/callstream"
	"github.com/wasabiport/wasabiport/transport/network"
)

// Guard admits calls to the backend servers of one host. Each backend server
// has a gate, which is a shard with its own lock.
type Guard struct {
	host      state.HostName
	network   network.Network
	snapshots *state.SnapshotStore
	gates     *state.ShardedMap[state.BackendServerName, *gate]
	leaving   atomic.Bool
}

// gate is the guard's part for one backend server.
type gate struct {
	admission *admission.Gate
	server    state.BackendServer
	service   state.Service
	transport *http.Transport
}

// New returns a guard for the backend servers of a host.
func New(host state.HostName, snapshots *state.SnapshotStore, network network.Network) *Guard {
	return &Guard{
		host:      host,
		network:   network,
		snapshots: snapshots,
		gates:     state.NewShardedMap[state.BackendServerName, *gate](state.DefaultShardCount),
	}
}

// Handle runs one call and returns the answer of the backend server, or a
// refusal that says whether the call may have run.
func (g *Guard) Handle(ctx context.Context, head call.Head, body io.Reader) (*callstream.Reply, *state.Refusal) {
	gate, refusal := g.gate(head)
	if refusal != nil {
		return nil, refusal
	}
	pass := gate.admission.Request(time.Now(), head)
	select {
	case <-pass.Decided():
	case <-ctx.Done():
		gate.admission.Abandon(time.Now(), pass)
		return nil, state.NotRun(state.RefusedDeadline, "the call ended while it waited for a slot")
	}
	if refusal := pass.Refusal(); refusal != nil {
		return nil, refusal
	}
	release := func() { gate.admission.Release(time.Now(), pass) }
	reply, refusal := gate.run(ctx, head, body, release)
	if refusal != nil {
		release()
		return nil, refusal
	}
	reply.Head.Load = gate.admission.Load()
	return reply, nil
}

// Load returns the load hint of a backend server.
func (g *Guard) Load(server state.BackendServerName) call.LoadHint {
	gate, ok := g.gates.Get(server)
	if !ok {
		return call.LoadHint{BackendServer: server}
	}
	return gate.admission.Load()
}

// Leave refuses all new calls from now on.
func (g *Guard) Leave() { g.leaving.Store(true) }

func (g *Guard) gate(head call.Head) (*gate, *state.Refusal) {
	if g.leaving.Load() {
		return nil, state.NotRun(state.RefusedDraining, "the node is leaving")
	}
	snapshot := g.snapshots.Load()
	if snapshot.Accepted() < head.Ticket {
		return nil, state.NotRun(state.RefusedBehind, "the guard has an older configuration than the entry node")
	}
	server, ok := snapshot.BackendServer(head.BackendServer)
	if !ok || server.Host != g.host {
		return nil, state.NotRun(state.RefusedNoBackendServer, "the backend server is not on this host")
	}
	service, _ := snapshot.Service(server.Service)
	return g.configured(server, service), nil
}

// configured returns the gate of a backend server with the settings in force.
func (g *Guard) configured(server state.BackendServer, service state.Service) *gate {
	var current *gate
	g.gates.Update(server.Name, func(existing *gate, present bool) (*gate, bool) {
		switch {
		case !present:
			existing = g.newGate(server, service)
		case existing.server != server || existing.service != service:
			existing = g.changed(existing, server, service)
		}
		current = existing
		return existing, true
	})
	return current
}

func (g *Guard) newGate(server state.BackendServer, service state.Service) *gate {
	return &gate{
		admission: admission.NewGate(server, service),
		server:    server,
		service:   service,
		transport: g.newTransport(server),
	}
}

// changed returns a gate with new settings that shares the slots in use.
func (g *Guard) changed(old *gate, server state.BackendServer, service state.Service) *gate {
	old.admission.Configure(time.Now(), server, service)
	next := &gate{admission: old.admission, server: server, service: service, transport: old.transport}
	if server.Address != old.server.Address || server.Connections != old.server.Connections {
		next.transport = g.newTransport(server)
	}
	return next
}
