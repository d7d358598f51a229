package peerwire_test

import "github.com/wasabiport/wasabiport/state"

// reconcileSessions dials the wanted peers that have no session and closes
// sessions that neither side wants.
func (sim *simulation) reconcileSessions(n *node) {
	wanted := make(map[state.HostName]bool)
	for _, host := range n.plane.WantedPeers() {
		wanted[host.Name] = true
		if !n.sessions[host.Name] && sim.now.Sub(n.dialedAt[host.Name]) >= dialRetryInterval {
			n.dialedAt[host.Name] = sim.now
			sim.dial(n, sim.byName[host.Name])
		}
	}
	for name, dialed := range n.sessions {
		if dialed && !wanted[name] && sim.byName[name].dialedAt[n.host.Name].IsZero() {
			delete(n.dialedAt, name)
			sim.disconnect(n, sim.byName[name])
		}
	}
}

func (sim *simulation) dial(a, b *node) {
	generation := a.generation
	sim.after(2*hopDelay, func() {
		if a.generation != generation || !b.up || b.paused || sim.isCut(a.host, b.host) || a.sessions[b.host.Name] {
			return
		}
		a.sessions[b.host.Name], b.sessions[a.host.Name] = true, true
		sim.runOn(a, func() { sim.applyOutput(a, a.plane.Connected(sim.now, b.host.Name)) })
		sim.runOn(b, func() { sim.applyOutput(b, b.plane.Connected(sim.now, a.host.Name)) })
	})
}
