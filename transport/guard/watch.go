package guard

import (
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// Watch applies changes of the configuration until Shutdown: the idempotency
// keys that this guard is responsible for, and the backend servers that accept
// no more calls.
func (g *Guard) Watch() {
	drainStarted := g.drainStarted
	for {
		snapshot, changed := g.snapshots.Watch()
		g.policies.KeyOwners.ObserveSnapshot(time.Now(), snapshot, g.host, g.draining.Load(), 0)
		g.applySnapshot(snapshot)
		select {
		case <-changed:
		case <-drainStarted:
			drainStarted = nil
		case <-g.ctx.Done():
			return
		}
	}
}

// applySnapshot updates the gates to the configuration in force. Waiting calls
// then do not run on a draining or removed backend server, or in a drained zone.
func (g *Guard) applySnapshot(snapshot *state.Snapshot) {
	for _, gate := range g.allGates() {
		server, ok := snapshot.BackendServer(gate.server.Name)
		switch {
		case !ok || server.Host != g.host:
			g.retire(gate)
		case server != gate.server:
			service, _ := snapshot.Service(server.Service)
			gate = g.configuredGate(server, service)
		default:
		}
		gate.applyDrainedZones(time.Now(), snapshot.DrainedZones())
	}
}

// retire refuses all calls that wait for a removed backend server. Its gate is
// deleted once the running calls have finished.
func (g *Guard) retire(removed *gate) {
	if !removed.server.Draining {
		server := removed.server
		server.Draining = true
		removed = g.configuredGate(server, removed.service)
	}
	select {
	case <-removed.admission.Drained():
		g.gates.Update(removed.server.Name, func(current *gate, present bool) (*gate, bool) {
			return current, present && current != removed
		})
		removed.transport.CloseIdleConnections()
	default:
	}
}
