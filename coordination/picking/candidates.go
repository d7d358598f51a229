package picking

import (
	"cmp"
	"slices"
	"time"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/state"
)

// candidate is a backend server that may be picked.
type candidate struct {
	server *state.BackendServer
	seen   sight
	// doubtful says that it is picked only when there is nothing else: its
	// host was silent, or it failed a moment ago.
	doubtful bool
	// rounds is the load for each slot, with the next call counted in.
	rounds float64
	// distance is what the way there costs, and cost the sum of that and of the
	// expected time to an answer.
	distance, cost time.Duration
}

// candidates returns the backend servers that may be picked. When there are
// some beyond doubt, it returns those alone.
func (p *Picker) candidates(
	now time.Time,
	servers []state.BackendServer,
	tried []state.BackendServerName,
) []candidate {
	found := make([]candidate, 0, len(servers))
	certain := false
	for index := range servers {
		server := &servers[index]
		if server.Draining || slices.Contains(tried, server.Name) {
			continue
		}
		phase := p.hosts.PhaseOf(server.Host)
		seen := p.see(now, server, phase)
		if seen.draining() || phase == state.HostLeaving || phase == state.HostGone {
			continue
		}
		doubtful := phase == state.HostSuspect || seen.isPushedOut(now)
		certain = certain || !doubtful
		found = append(found, candidate{server: server, seen: seen, doubtful: doubtful})
	}
	if certain {
		found = slices.DeleteFunc(found, func(c candidate) bool { return c.doubtful })
	}
	return found
}

// price sets what each candidate costs a call.
func (p *Picker) price(now time.Time, candidates []candidate, head call.Head, slowStart time.Duration) {
	bytes, usual := p.routes.expected(head)
	for i := range candidates {
		c := &candidates[i]
		c.rounds = c.seen.rounds(now, c.server, slowStart, p.config.HintHalfLife)
		c.distance = p.distance(c.server, bytes)
		c.cost = c.seen.expectedTime(now, c.rounds, usual) + c.distance
	}
}

// distance returns what the way to a backend server costs.
func (p *Picker) distance(server *state.BackendServer, bytes float64) time.Duration {
	if server.Zone == p.config.Zone {
		return 0
	}
	crossing := p.config.ZoneDelay + time.Duration(bytes/(1<<10)*float64(p.config.ZoneDelayPerKiB))
	if p.sameRegion(server) {
		return crossing
	}
	return crossing + p.config.RegionDelay
}

func (p *Picker) sameRegion(server *state.BackendServer) bool {
	if p.config.Regions == nil {
		return true
	}
	region, ok := p.config.Regions.RegionOf(server.Host)
	return ok && region == p.config.Region
}

// see returns what was seen of a backend server, in the light of the phase of
// its host. What was seen of an earlier life does not count.
func (p *Picker) see(now time.Time, server *state.BackendServer, phase state.HostPhase) sight {
	seen, _ := p.sights.Get(server.Name)
	if seen.life == server.Incarnation && !seen.draining() {
		return seen
	}
	p.sights.Update(server.Name, func(held sight, _ bool) (sight, bool) {
		if seen = held; seen.life != server.Incarnation {
			seen = sight{life: server.Incarnation}
		}
		if seen.draining() {
			restarted := p.hosts.StartSeenAt(server.Host).After(seen.drainingSince)
			seen = seen.withPhase(now, phase, restarted, p.config.DrainRetention)
			if server.Incarnation != 0 {
				// A backend server that tells its life is as warm as it was.
				seen.returned = time.Time{}
			}
		}
		return seen, true
	})
	return seen
}

// cheapest returns one of the nearest among the candidates that cost hardly
// more than the cheapest one: the less loaded of two. Drawing them keeps nodes
// that know the same from all picking the same backend server.
func (p *Picker) cheapest(candidates []candidate) state.BackendServer {
	least := slices.MinFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) }).cost
	limit := least + time.Duration(tieShare*float64(least))
	alike := slices.DeleteFunc(candidates, func(c candidate) bool { return c.cost > limit })
	nearest := slices.MinFunc(alike, func(a, b candidate) int { return cmp.Compare(a.distance, b.distance) }).distance
	alike = slices.DeleteFunc(alike, func(c candidate) bool { return c.distance > nearest })
	first := p.random.intN(len(alike))
	if len(alike) == 1 {
		return *alike[first].server
	}
	second := (first + 1 + p.random.intN(len(alike)-1)) % len(alike)
	if alike[second].rounds < alike[first].rounds {
		return *alike[second].server
	}
	return *alike[first].server
}
