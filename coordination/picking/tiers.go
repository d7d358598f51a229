package picking

import (
	"slices"
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// candidate is a backend server that may be picked.
type candidate struct {
	server *state.BackendServer
	// score is the load for each slot; less is better.
	score float64
	// work is the number of calls that run and wait, and slots the number of
	// slots, after the latest hint.
	work, slots int
	saturated   bool
}

// tier holds candidates that are equally far away.
type tier []candidate

// The tiers, nearest first. The last holds those that are picked only when
// there is nothing else: a host that was silent or a recent failure.
const (
	tierZone = iota
	tierRegion
	tierFar
	tierDoubtful
	tierCount
)

func (p *Picker) tiers(
	now time.Time,
	servers []state.BackendServer,
	tried []state.BackendServerName,
	slowStart time.Duration,
) [tierCount]tier {
	var tiers [tierCount]tier
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
		i := p.tierOf(server)
		if phase == state.HostSuspect || seen.isPushedOut(now) {
			i = tierDoubtful
		}
		if tiers[i] == nil {
			tiers[i] = make(tier, 0, len(servers))
		}
		tiers[i] = append(tiers[i], candidate{
			server:    server,
			score:     seen.score(now, server, slowStart, p.config.HintHalfLife),
			work:      seen.hint.Running + seen.hint.Waiting,
			slots:     seen.hint.Slots,
			saturated: seen.saturated(now, p.config.HintHalfLife),
		})
	}
	return tiers
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
			seen = seen.withPhase(now, phase, p.config.DrainMemory)
		}
		return seen, true
	})
	return seen
}

func (p *Picker) tierOf(server *state.BackendServer) int {
	if server.Zone == p.config.Zone {
		return tierZone
	}
	if p.config.Regions == nil {
		return tierFar
	}
	if region, ok := p.config.Regions.RegionOf(server.Host); ok && region == p.config.Region {
		return tierRegion
	}
	return tierFar
}

// choose returns the candidates of the nearest tier. When all of them are
// saturated, a share of the calls goes to the next tier that is not.
func (p *Picker) choose(tiers [tierCount]tier) tier {
	nearest := slices.IndexFunc(tiers[:], func(t tier) bool { return len(t) > 0 })
	if nearest < 0 {
		return nil
	}
	if !tiers[nearest].saturated() {
		return tiers[nearest]
	}
	farther := roomBeyond(tiers, nearest)
	if len(farther) > 0 && p.random.float64() < p.spillShare(tiers[nearest]) {
		return farther
	}
	return tiers[nearest]
}

// roomBeyond returns the candidates with room of the nearest tier beyond i
// that has any.
func roomBeyond(tiers [tierCount]tier, i int) tier {
	for i++; i < tierDoubtful; i++ {
		if unsaturated := tiers[i].unsaturated(); len(unsaturated) > 0 {
			return unsaturated
		}
	}
	return nil
}

func (t tier) saturated() bool {
	return !slices.ContainsFunc(t, func(c candidate) bool { return !c.saturated })
}

func (t tier) unsaturated() tier {
	return slices.DeleteFunc(slices.Clone(t), func(c candidate) bool { return c.saturated })
}

// spillShare is the share of the work in t that is beyond its slots.
func (p *Picker) spillShare(t tier) float64 {
	var work, slots int
	for _, candidate := range t {
		work += candidate.work
		slots += candidate.slots
	}
	if work <= slots {
		return 0
	}
	return min(p.config.MaxSpillShare, 1-float64(slots)/float64(work))
}
