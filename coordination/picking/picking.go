package picking

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/coordination/keyowner"
	"github.com/wasabiport/wasabiport/state"
)

// Picker selects backend servers. It is safe for concurrent use; its statistics
// are sharded by backend server and by route.
type Picker struct {
	config  Config
	hosts   HostPhases
	servers *state.ShardedMap[state.BackendServerName, serverStats]
	subsets subsets
	routes  routeStats
	random  lockedRandom
}

// NewPicker returns a picker without statistics.
func NewPicker(config Config, hosts HostPhases, random *rand.Rand) *Picker {
	return &Picker{
		config:  config.withDefaults(),
		hosts:   hosts,
		servers: state.NewShardedMap[state.BackendServerName, serverStats](state.DefaultShardCount),
		subsets: newSubsets(config),
		routes:  newRouteStats(),
		random:  lockedRandom{random: random},
	}
}

// Pick returns the backend server for a call to head.Service: the one with the
// lowest cost among those that this node uses and that are neither in tried nor in a
// drained availability zone. The cost is the expected latency plus the cost of the
// network path.
func (p *Picker) Pick(
	now time.Time,
	snapshot *state.Snapshot,
	head call.Head,
	tried []state.BackendServerName,
) (state.BackendServer, *state.Refusal) {
	settings, _ := snapshot.Service(head.Service)
	candidates := p.candidates(now, snapshot, head.Service, tried)
	if len(candidates) == 0 {
		return state.BackendServer{}, noBackendServer()
	}
	p.computeCosts(now, candidates, head, settings)
	picked := p.choose(candidates, len(snapshot.BackendServersOf(head.Service)), len(tried) == 0)
	answerBytes, _ := p.routes.estimate(head)
	p.servers.Update(picked.Name, func(stats serverStats, _ bool) (serverStats, bool) {
		return stats.withPick(now, p.config.HintHalfLife).withLongPick(now, answerBytes, p.config.HintHalfLife), true
	})
	return picked, nil
}

// choose returns the candidate to pick for a service with the given number of backend
// servers. first is set unless other backend servers were tried before.
func (p *Picker) choose(candidates []candidate, servers int, first bool) state.BackendServer {
	if p.config.SpreadFrom > 0 && servers >= p.config.SpreadFrom {
		return p.pickSpread(candidates, first)
	}
	return p.pickCheapest(candidates)
}

// RandomFloat64 returns a random number in [0, 1).
func (p *Picker) RandomFloat64() float64 { return p.random.float64() }

// PickKeyed returns the backend server to try next for a call with an
// idempotency key, after those in declined, which take no new calls and have
// reported that they did not run it. The health of backend servers and the drain of
// their availability zones are ignored: only the first one that has not declined may
// have a record of the call, and its guard declines while its zone is drained.
func (p *Picker) PickKeyed(
	snapshot *state.Snapshot,
	service state.ServiceName,
	key keyowner.Key,
	declined []state.BackendServerName,
) (state.BackendServer, *state.Refusal) {
	var names []state.BackendServerName
	for _, server := range snapshot.BackendServersOf(service) {
		names = append(names, server.Name)
	}
	for _, name := range keyowner.Order(names, key) {
		if !slices.Contains(declined, name) {
			server, _ := snapshot.BackendServer(name)
			return server, nil
		}
	}
	return state.BackendServer{}, noBackendServer()
}

// Response describes a response of a backend server.
type Response struct {
	// Bytes is the length of the body, or negative when it is unknown.
	Bytes int64
	// ServiceTime is how long the backend server took, or 0 when it is unknown.
	ServiceTime time.Duration
	// Failed is set when the response was an error of the backend server
	// itself.
	Failed bool
}

// ObserveResponse updates the statistics with the response of
// head.BackendServer to a call.
func (p *Picker) ObserveResponse(now time.Time, head call.Head, response Response) {
	latencyRatio, known := p.routes.observe(head.Route, response)
	p.servers.Update(head.BackendServer, func(stats serverStats, _ bool) (serverStats, bool) {
		stats = stats.withResponse(now, response.Failed)
		if known {
			stats = stats.withLatencyRatio(latencyRatio)
		}
		return stats, true
	})
}

// ObserveLoadHint records the load hint of a reply or refusal. It ends an
// ejection of the backend server.
func (p *Picker) ObserveLoadHint(now time.Time, load call.LoadHint) {
	p.servers.Update(load.BackendServer, func(stats serverStats, _ bool) (serverStats, bool) {
		return stats.withHint(now, load), true
	})
}

// RateLimitOf returns the rate limit of a backend server, as its guard last knew it.
func (p *Picker) RateLimitOf(server state.BackendServer) call.RateLimit {
	stats, _ := p.servers.Get(server.Name)
	if stats.rateLimitOf != server.Incarnation {
		return call.RateLimit{}
	}
	return stats.rateLimit
}

// ObserveRefusal updates the statistics with the refusal of an attempt at a
// backend server. incarnation is the one that the guard has refused for, or 0 when it
// is not known. A guard that refuses for a draining incarnation other than the one this
// node picks has another registration, so the backend server is only ejected: it may
// take calls as soon as the registrations agree. The same holds for a guard that has
// refused because the availability zone is drained: the zone may be taken back at once.
func (p *Picker) ObserveRefusal(now time.Time, server state.BackendServerName, incarnation int64, refusal *state.Refusal) {
	switch refusal.Reason {
	case state.RefusedDraining:
		draw := p.random.float64()
		p.servers.Update(server, func(stats serverStats, _ bool) (serverStats, bool) {
			if refusal.ZoneDrained || stats.isOfOther(incarnation) {
				return p.eject(now, stats, draw), true
			}
			return stats.withDraining(now), true
		})
	case state.RefusedShed:
		p.servers.Update(server, func(stats serverStats, _ bool) (serverStats, bool) {
			return stats.withResponse(now, true), true
		})
	case state.RefusedUnreachable, state.RefusedBackendServerFailed:
		draw := p.random.float64()
		p.servers.Update(server, func(stats serverStats, _ bool) (serverStats, bool) {
			return p.eject(now, stats, draw), true
		})
	default:
	}
}

// ExcludeZone returns tried with the backend servers of a service that are in the same
// availability zone as one that was refused because its zone is drained. The next
// attempt then goes to another zone, also at a node that does not know of the drain yet.
func ExcludeZone(
	snapshot *state.Snapshot,
	refused state.BackendServer,
	tried []state.BackendServerName,
) []state.BackendServerName {
	for _, server := range snapshot.BackendServersOf(refused.Service) {
		if server.Zone == refused.Zone && server.Name != refused.Name {
			tried = append(tried, server.Name)
		}
	}
	return tried
}

// eject returns stats with the backend server ejected for a random time (full
// jitter). draw is a random number in [0, 1).
func (p *Picker) eject(now time.Time, stats serverStats, draw float64) serverStats {
	bound := p.config.BaseEjectionTime
	for range stats.consecutiveFailures {
		bound = min(2*bound, p.config.MaxEjectionTime)
	}
	stats.consecutiveFailures++
	stats.ejectedUntil = now.Add(time.Duration(draw * float64(bound)))
	return stats
}

func noBackendServer() *state.Refusal {
	return state.NotRun(state.RefusedNoBackendServer, "no backend server of the service can take the call")
}

type lockedRandom struct {
	mu     sync.Mutex
	random *rand.Rand
}

func (r *lockedRandom) intN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n)
}

func (r *lockedRandom) float64() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.Float64()
}
