package picking

import (
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// registration is what this node has seen of the registration of a backend server, apart
// from the one in force. The platform may return from a copy in which a backend server
// that has left is still registered.
type registration struct {
	// drainedOf is the incarnation that was registered as draining, and drainedAt when
	// it last was.
	drainedOf int64
	drainedAt time.Time
	// lostOf is the incarnation that was no longer registered, and lostAt and lostIn
	// when and in which epoch of the registry that was seen.
	lostOf int64
	lostAt time.Time
	lostIn uint64
	// relistedAt is when that incarnation was registered again in a later epoch.
	relistedAt time.Time
}

// excludes reports whether an incarnation that is registered as ready must not be
// picked: it was draining before, which it never ends, or its registration may be an
// old one that has not expired yet.
func (r registration) excludes(now time.Time, incarnation int64, config Config) bool {
	if incarnation == 0 {
		return false
	}
	drained := r.drainedOf == incarnation && now.Sub(r.drainedAt) < config.DrainRetention
	old := r.lostOf == incarnation && !r.relistedAt.IsZero() && now.Sub(r.relistedAt) < config.RelistDelay
	return drained || old
}

// withListed records that a backend server is registered. A registration that returns
// in the epoch in which it was lost has been renewed; in a later one it may be old.
func (r registration) withListed(now time.Time, server state.BackendServer, epoch uint64) registration {
	if server.Draining {
		r.drainedOf, r.drainedAt = server.Incarnation, now
	}
	if r.lostOf != server.Incarnation {
		return r
	}
	if epoch <= r.lostIn {
		r.lostOf = 0
	} else if r.relistedAt.IsZero() {
		r.relistedAt = now
	}
	return r
}

// withLost records that an incarnation is no longer registered.
func (r registration) withLost(now time.Time, incarnation int64, epoch uint64) registration {
	r.lostOf, r.lostAt, r.lostIn = incarnation, now, epoch
	r.relistedAt = time.Time{}
	return r
}

// isRemembered reports whether the registration still matters though the backend server
// is not registered.
func (r registration) isRemembered(now time.Time, retention time.Duration) bool {
	return now.Sub(r.drainedAt) < retention || now.Sub(r.lostAt) < retention
}

// ObserveSnapshot records which backend servers are registered, and removes what is
// stored of backend servers, services and routes that are not in snapshot. A backend
// server that has left is remembered for a while, because its registration may return.
func (p *Picker) ObserveSnapshot(now time.Time, snapshot *state.Snapshot) {
	registry := snapshot.Registry()
	epoch := state.EpochOf(registry.Version())
	for _, server := range registry.Servers() {
		if server.Incarnation != 0 {
			p.servers.Update(server.Name, func(stats serverStats, _ bool) (serverStats, bool) {
				stats.registration = stats.registration.withListed(now, server, epoch)
				stats.listedAs = server.Incarnation
				return stats, true
			})
		}
	}
	p.recordLost(now, snapshot, epoch)
	p.prune(now, snapshot)
}

func (p *Picker) recordLost(now time.Time, snapshot *state.Snapshot, epoch uint64) {
	var lost []state.BackendServerName
	p.servers.Range(func(name state.BackendServerName, stats serverStats) bool {
		if _, configured := snapshot.BackendServer(name); !configured && stats.listedAs != 0 {
			lost = append(lost, name)
		}
		return true
	})
	for _, name := range lost {
		p.servers.Update(name, func(stats serverStats, _ bool) (serverStats, bool) {
			stats.registration = stats.registration.withLost(now, stats.listedAs, epoch)
			stats.listedAs = 0
			return stats, true
		})
	}
}

func (p *Picker) prune(now time.Time, snapshot *state.Snapshot) {
	p.servers.RemoveIf(func(name state.BackendServerName, stats serverStats) bool {
		_, configured := snapshot.BackendServer(name)
		return !configured && !stats.isRemembered(now, p.config.DrainRetention)
	})
	p.subsets.kept.RemoveIf(func(name state.ServiceName, _ subset) bool {
		_, configured := snapshot.Service(name)
		return !configured
	})
	p.routes.averages.RemoveIf(func(name state.RouteName, _ routeAverages) bool {
		_, configured := snapshot.Route(name)
		return !configured
	})
}
