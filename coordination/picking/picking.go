// Package picking chooses the backend server for a call.
package picking

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/state"
)

// Config holds the settings of a Picker.
type Config struct {
	// Zone is the availability zone of this node.
	Zone state.AvailabilityZone
}

// HostPhases tells what is known of the hosts of backend servers.
type HostPhases interface {
	// PhaseOf returns the phase of a host.
	PhaseOf(host state.HostName) state.HostPhase
}

// Picker chooses backend servers. It is safe for use by many threads.
type Picker struct {
	config Config
	hosts  HostPhases
	hints  *state.ShardedMap[state.BackendServerName, hint]
	random lockedRandom
}

type hint struct {
	load     call.LoadHint
	observed time.Time
}

// NewPicker returns a picker without load hints.
func NewPicker(config Config, hosts HostPhases, random *rand.Rand) *Picker {
	return &Picker{
		config: config,
		hosts:  hosts,
		hints:  state.NewShardedMap[state.BackendServerName, hint](state.DefaultShardCount),
		random: lockedRandom{random: random},
	}
}

// Pick returns a backend server of service that is not in tried.
func (p *Picker) Pick(
	now time.Time,
	snapshot *state.Snapshot,
	service state.ServiceName,
	tried []state.BackendServerName,
) (state.BackendServer, *state.Refusal) {
	candidates := p.candidates(snapshot.BackendServersOf(service), tried)
	if len(candidates) == 0 {
		return state.BackendServer{}, state.NotRun(state.RefusedNoBackendServer,
			"no backend server of the service can take the call")
	}
	return p.lessLoaded(candidates), nil
}

// Observe records the load hint of a reply.
func (p *Picker) Observe(now time.Time, load call.LoadHint) {
	p.hints.Set(load.BackendServer, hint{load: load, observed: now})
}

func (p *Picker) candidates(servers []state.BackendServer, tried []state.BackendServerName) []state.BackendServer {
	var own, others []state.BackendServer
	for _, server := range servers {
		usable := !server.Draining &&
			!slices.Contains(tried, server.Name) &&
			p.hosts.PhaseOf(server.Host) == state.HostLive
		if !usable {
			continue
		}
		if server.Zone == p.config.Zone {
			own = append(own, server)
		} else {
			others = append(others, server)
		}
	}
	if len(own) > 0 {
		return own
	}
	return others
}

func (p *Picker) lessLoaded(candidates []state.BackendServer) state.BackendServer {
	first := candidates[p.random.intN(len(candidates))]
	second := candidates[p.random.intN(len(candidates))]
	if p.utilization(second) < p.utilization(first) {
		return second
	}
	return first
}

func (p *Picker) utilization(server state.BackendServer) float64 {
	known, ok := p.hints.Get(server.Name)
	if !ok || known.load.Slots == 0 {
		return 0
	}
	return float64(known.load.Running+known.load.Waiting) / float64(known.load.Slots)
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
