package peerwire_test

import "github.com/wasabiport/wasabiport/state"

// dialWanted opens sessions to wanted peers and closes those that neither
// side wants.
func (x *exchange) dialWanted(n *node) {
	wanted := make(map[state.HostName]bool)
	for _, host := range n.plane.WantedPeers() {
		wanted[host.Name] = true
		if !n.sessions[host.Name] && x.now.Sub(n.dialedAt[host.Name]) >= dialRetryInterval {
			n.dialedAt[host.Name] = x.now
			x.dial(n, x.byName[host.Name])
		}
	}
	for name, dialed := range n.sessions {
		if dialed && !wanted[name] && x.byName[name].dialedAt[n.host.Name].IsZero() {
			delete(n.dialedAt, name)
			x.disconnect(n, x.byName[name])
		}
	}
}

func (x *exchange) dial(a, b *node) {
	life := a.life
	x.after(2*hopDelay, func() {
		if a.life != life || !b.up || b.paused || x.cut(a.host, b.host) || a.sessions[b.host.Name] {
			return
		}
		a.sessions[b.host.Name], b.sessions[a.host.Name] = true, true
		x.act(a, func() { x.carryOut(a, a.plane.Connected(x.now, b.host.Name)) })
		x.act(b, func() { x.carryOut(b, b.plane.Connected(x.now, a.host.Name)) })
	})
}
