package guard

import (
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// Watch follows the configuration until Shutdown: which keys this guard has to
// answer for, and which backend servers take no more calls.
func (g *Guard) Watch() {
	left := g.left
	for {
		snapshot, changed := g.snapshots.Watch()
		g.decisions.KeyOwners.ObserveSnapshot(time.Now(), snapshot, g.host, g.leaving.Load(), 0)
		g.followSnapshot(snapshot)
		select {
		case <-changed:
		case <-left:
			left = nil
		case <-g.ctx.Done():
			return
		}
	}
}

// followSnapshot brings the gates to the configuration in force, so that calls
// which wait for a backend server that is leaving or gone do not run on it.
func (g *Guard) followSnapshot(snapshot *state.Snapshot) {
	for _, gate := range g.allGates() {
		server, ok := snapshot.BackendServer(gate.server.Name)
		switch {
		case !ok || server.Host != g.host:
			g.retire(gate)
		case server != gate.server:
			service, _ := snapshot.Service(server.Service)
			g.configured(server, service)
		default:
		}
	}
}

// retire refuses all calls that wait for a backend server that is gone. Its
// gate is forgotten once the calls that run have finished.
func (g *Guard) retire(gone *gate) {
	if !gone.server.Draining {
		server := gone.server
		server.Draining = true
		gone = g.configured(server, gone.service)
	}
	select {
	case <-gone.admission.Drained():
		g.gates.Update(gone.server.Name, func(current *gate, present bool) (*gate, bool) {
			return current, present && current != gone
		})
		gone.transport.CloseIdleConnections()
	default:
	}
}
