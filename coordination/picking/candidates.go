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
	stats  serverStats
	// lastResort is set when the backend server is picked only if there is no
	// other: its host is suspect, or it failed recently.
	lastResort bool
	// loadPerSlot is the load per slot, including the next call.
	loadPerSlot float64
	// weight is the share of the calls, relative to other candidates, when calls are
	// spread.
	weight float64
	// networkCost is the cost of the network path, and cost the sum of
	// networkCost and the expected latency.
	networkCost, cost time.Duration
	// delay is cost without the relative speed of the backend server.
	delay time.Duration
}

// candidates returns the backend servers of a service that may be picked. Those of last
// resort are returned only when there are no others, and those that this node does not
// use otherwise only when none that it uses is available.
func (p *Picker) candidates(
	now time.Time,
	snapshot *state.Snapshot,
	service state.ServiceName,
	tried []state.BackendServerName,
) []candidate {
	servers, drained := snapshot.BackendServersOf(service), snapshot.DrainedZones()
	used := p.subsets.choose(service, servers)
	candidates, anyPreferred := p.available(now, used, drained, tried)
	if !anyPreferred && len(used) < len(servers) {
		candidates, anyPreferred = p.available(now, servers, drained, tried)
	}
	if anyPreferred {
		candidates = slices.DeleteFunc(candidates, func(c candidate) bool { return c.lastResort })
	}
	return candidates
}

// available returns the backend servers that may be picked, and whether one of them
// is not of last resort.
func (p *Picker) available(
	now time.Time,
	servers []state.BackendServer,
	drained state.DrainedZones,
	tried []state.BackendServerName,
) (candidates []candidate, anyPreferred bool) {
	candidates = make([]candidate, 0, len(servers))
	for index := range servers {
		server := &servers[index]
		if server.Draining || drained.Contains(server.Zone) || slices.Contains(tried, server.Name) {
			continue
		}
		phase := p.hosts.PhaseOf(server.Host)
		stats := p.statsOf(now, server, phase)
		left := stats.isLeaving(server.Incarnation) || stats.registration.excludes(now, server.Incarnation, p.config)
		if stats.draining() || left || phase == state.HostLeaving || phase == state.HostGone {
			continue
		}
		lastResort := phase == state.HostSuspect || stats.isEjected(now)
		anyPreferred = anyPreferred || !lastResort
		candidates = append(candidates, candidate{server: server, stats: stats, lastResort: lastResort})
	}
	return candidates, anyPreferred
}

// computeCosts sets the cost of each candidate for a call.
func (p *Picker) computeCosts(now time.Time, candidates []candidate, head call.Head, service state.Service) {
	answerBytes, typical := p.routes.estimate(head)
	bytes := answerBytes + float64(max(0, head.ContentLength))
	for i := range candidates {
		c := &candidates[i]
		slots := c.stats.slots(now, c.server, service, typical, p.config.HintHalfLife)
		c.loadPerSlot = (c.stats.load(now, p.config.HintHalfLife) + 1) / slots
		c.loadPerSlot = max(c.loadPerSlot, c.stats.longLoadPerSlot(now, answerBytes, p.config.HintHalfLife))
		c.weight = c.stats.spreadWeight(slots)
		c.networkCost = p.networkCost(c.server, bytes)
		c.cost = c.stats.expectedLatency(now, c.loadPerSlot, typical) + c.networkCost
		c.delay = c.stats.expectedDelay(now, c.loadPerSlot, typical) + c.networkCost
	}
}

// networkCost returns the cost of the network path to a backend server.
func (p *Picker) networkCost(server *state.BackendServer, bytes float64) time.Duration {
	if server.Zone == p.config.Zone {
		return 0
	}
	zoneCost := p.config.ZoneDelay + time.Duration(bytes/(1<<10)*float64(p.config.ZoneDelayPerKiB))
	if p.sameRegion(server) {
		return zoneCost
	}
	return zoneCost + p.config.RegionDelay
}

func (p *Picker) sameRegion(server *state.BackendServer) bool {
	if p.config.Regions == nil {
		return true
	}
	region, ok := p.config.Regions.RegionOf(server.Host)
	return ok && region == p.config.Region
}

// statsOf returns the statistics of a backend server, updated for the phase of
// its host. Statistics of an earlier incarnation are discarded.
func (p *Picker) statsOf(now time.Time, server *state.BackendServer, phase state.HostPhase) serverStats {
	stats, _ := p.servers.Get(server.Name)
	if stats.incarnation == server.Incarnation && !stats.draining() {
		return stats
	}
	p.servers.Update(server.Name, func(stored serverStats, _ bool) (serverStats, bool) {
		if stats = stored; stats.incarnation != server.Incarnation {
			stats = stored.forIncarnation(server.Incarnation)
		}
		if stats.draining() {
			restarted := p.hosts.StartSeenAt(server.Host).After(stats.drainingSince)
			stats = stats.withPhase(now, phase, restarted, p.config.DrainRetention)
			if server.Incarnation != 0 {
				// The incarnation is known and unchanged: the backend server
				// has not restarted and needs no slow start.
				stats.returnedAt = time.Time{}
			}
		}
		return stats, true
	})
	return stats
}

// pickCheapest picks two candidates at random from the nearest of those whose
// cost is within tieTolerance of the minimum, and returns the less loaded one.
// The random choice keeps nodes with the same information from all picking the
// same backend server.
func (p *Picker) pickCheapest(candidates []candidate) state.BackendServer {
	minCost := slices.MinFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) }).cost
	maxCost := minCost + time.Duration(tieTolerance*float64(minCost))
	ties := slices.DeleteFunc(candidates, func(c candidate) bool { return c.cost > maxCost })
	ties = nearest(ties)
	first := p.random.intN(len(ties))
	if len(ties) == 1 {
		return *ties[first].server
	}
	second := (first + 1 + p.random.intN(len(ties)-1)) % len(ties)
	if ties[second].loadPerSlot < ties[first].loadPerSlot {
		return *ties[second].server
	}
	return *ties[first].server
}
