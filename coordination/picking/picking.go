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

// Picker chooses backend servers. It is safe for use by many threads; what it
// has seen is in shards by backend server.
type Picker struct {
	config Config
	hosts  HostPhases
	sights *state.ShardedMap[state.BackendServerName, sight]
	routes routes
	random lockedRandom
}

// NewPicker returns a picker that has seen nothing.
func NewPicker(config Config, hosts HostPhases, random *rand.Rand) *Picker {
	return &Picker{
		config: config.withDefaults(),
		hosts:  hosts,
		sights: state.NewShardedMap[state.BackendServerName, sight](state.DefaultShardCount),
		routes: newRoutes(),
		random: lockedRandom{random: random},
	}
}

// Pick returns the backend server for a call of head.Service that is not in
// tried: one from which the answer is expected soonest, when what the way to
// it costs is counted in.
func (p *Picker) Pick(
	now time.Time,
	snapshot *state.Snapshot,
	head call.Head,
	tried []state.BackendServerName,
) (state.BackendServer, *state.Refusal) {
	settings, _ := snapshot.Service(head.Service)
	candidates := p.candidates(now, snapshot.BackendServersOf(head.Service), tried)
	if len(candidates) == 0 {
		return state.BackendServer{}, noBackendServer()
	}
	p.price(now, candidates, head, settings.SlowStart)
	picked := p.cheapest(candidates)
	p.sights.Update(picked.Name, func(seen sight, _ bool) (sight, bool) {
		return seen.withPick(now, p.config.HintHalfLife), true
	})
	return picked, nil
}

// RandomFloat64 returns a random number from 0 up to but without 1.
func (p *Picker) RandomFloat64() float64 { return p.random.float64() }

// PickKeyed returns the backend server that has to be asked next for a call
// with an idempotency key, when those in declined take no new calls and said
// that they have not run it. The health of backend servers plays no part: only
// the first that has not declined can know whether the call has run.
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

// Response is what an answer of a backend server shows of it and of the route.
type Response struct {
	// Bytes is the length of the body, negative when it is not known.
	Bytes int64
	// ServiceTime is how long the backend server took; 0 when it is not known.
	ServiceTime time.Duration
	// Failed says that the answer was a failure of the backend server's own.
	Failed bool
}

// ObserveResponse learns from the answer of head.BackendServer to a call.
func (p *Picker) ObserveResponse(now time.Time, head call.Head, answer Response) {
	pace, known := p.routes.observe(head.Route, answer)
	p.sights.Update(head.BackendServer, func(seen sight, _ bool) (sight, bool) {
		seen = seen.withAnswer(now, answer.Failed)
		if known {
			seen = seen.withPace(pace)
		}
		return seen, true
	})
}

// ObserveLoadHint records the load hint of a reply or refusal. It ends the time for
// which the backend server is left out.
func (p *Picker) ObserveLoadHint(now time.Time, load call.LoadHint) {
	p.sights.Update(load.BackendServer, func(seen sight, _ bool) (sight, bool) {
		return seen.withHint(now, load), true
	})
}

// ObserveRefusal learns from the refusal of an attempt at a backend server.
func (p *Picker) ObserveRefusal(now time.Time, server state.BackendServerName, refusal *state.Refusal) {
	switch refusal.Reason {
	case state.RefusedDraining:
		p.sights.Update(server, func(seen sight, _ bool) (sight, bool) {
			return seen.withDraining(now), true
		})
	case state.RefusedShed:
		p.sights.Update(server, func(seen sight, _ bool) (sight, bool) {
			return seen.withAnswer(now, true), true
		})
	case state.RefusedUnreachable, state.RefusedBackendServerFailed:
		draw := p.random.float64()
		p.sights.Update(server, func(seen sight, _ bool) (sight, bool) {
			return p.pushOut(now, seen, draw), true
		})
	default:
	}
}

// Prune drops what was seen of backend servers and routes that are not in
// snapshot.
func (p *Picker) Prune(snapshot *state.Snapshot) {
	p.sights.RemoveIf(func(name state.BackendServerName, _ sight) bool {
		_, configured := snapshot.BackendServer(name)
		return !configured
	})
	p.routes.usual.RemoveIf(func(name state.RouteName, _ usualAnswer) bool {
		_, configured := snapshot.Route(name)
		return !configured
	})
}

// pushOut leaves a backend server out for a time with full jitter.
func (p *Picker) pushOut(now time.Time, seen sight, draw float64) sight {
	bound := p.config.BaseEjectionTime
	for range seen.failures {
		bound = min(2*bound, p.config.MaxEjectionTime)
	}
	seen.failures++
	seen.pushedOut = now.Add(time.Duration(draw * float64(bound)))
	return seen
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
