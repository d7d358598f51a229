package admission

import (
	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/state"
)

// Occupancy is the number of running and waiting calls of a gate by priority
// class.
type Occupancy struct {
	BackendServer    state.BackendServerName
	Running, Waiting [state.ClassCount]int
	// Slots is the number of slots that may be used.
	Slots int
	// Refused is the number of calls that were refused for lack of capacity so far.
	Refused RefusalCounts
	// Started is the number of calls that have got a slot so far.
	Started uint64
	// RateLimit is the limit that the backend server has reported.
	RateLimit call.RateLimit
	// Cold is set while the limit of a cold backend server is in force, and
	// HealthChecks is the number of health checks so far.
	Cold         bool
	HealthChecks uint64
}

// Occupancy returns the numbers of running and waiting calls. Waiting exclusive
// calls are not counted.
func (g *Gate) Occupancy() Occupancy {
	g.mu.Lock()
	defer g.mu.Unlock()
	occupancy := Occupancy{BackendServer: g.server.Name, Slots: g.usable(g.floors.updatedAt)}
	occupancy.Refused = g.refused
	occupancy.Started, occupancy.RateLimit = g.startedTotal, g.rate.limit
	occupancy.Cold, occupancy.HealthChecks = g.cold.limits(g.floors.updatedAt), g.cold.checks
	for _, class := range state.Classes() {
		occupancy.Running[class] = g.guaranteed[class] + g.spare[class]
		occupancy.Waiting[class] = g.waitingOf(class)
	}
	return occupancy
}
