package admission

import "github.com/wasabiport/wasabiport/state"

// Occupancy is what a gate has in its slots and queues, by priority class.
type Occupancy struct {
	BackendServer    state.BackendServerName
	Running, Waiting [state.ClassCount]int
	// Slots is the number of slots that may be used at present.
	Slots int
}

// Occupancy returns what runs and waits. Calls that wait to run alone are not
// counted.
func (g *Gate) Occupancy() Occupancy {
	g.mu.Lock()
	defer g.mu.Unlock()
	occupancy := Occupancy{BackendServer: g.server.Name, Slots: g.usable(g.floors.updated)}
	for _, class := range state.Classes() {
		occupancy.Running[class] = g.entitled[class] + g.spare[class]
		occupancy.Waiting[class] = g.waitingOf(class)
	}
	return occupancy
}
