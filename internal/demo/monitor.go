package demo

import (
	"context"
	"time"

	"github.com/wasabiport/wasabiport"
	"github.com/wasabiport/wasabiport/coordination/validation"
	"github.com/wasabiport/wasabiport/state"
)

// monitorInterval is the time between two checks of the nodes.
const monitorInterval = 5 * time.Millisecond

// versionMonitor polls the configurations that are in force on the nodes.
type versionMonitor struct {
	highest map[*wasabiport.Node]state.TicketNumber
	// regressions counts changes of a node to an older ticket.
	regressions int
	// danglingReferences counts configurations with a reference to a missing
	// resource.
	danglingReferences int
	stopped            chan struct{}
}

// monitorVersions starts to monitor all nodes until ctx is canceled.
func monitorVersions(ctx context.Context, fleet *fleet) *versionMonitor {
	monitor := &versionMonitor{
		highest: make(map[*wasabiport.Node]state.TicketNumber),
		stopped: make(chan struct{}),
	}
	go monitor.run(ctx, fleet)
	return monitor
}

func (m *versionMonitor) run(ctx context.Context, fleet *fleet) {
	defer close(m.stopped)
	ticker := time.NewTicker(monitorInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			for _, node := range fleet.runningNodes() {
				m.check(node)
			}
		}
	}
}

func (m *versionMonitor) check(node *wasabiport.Node) {
	snapshot := node.Snapshot()
	before, seen := m.highest[node]
	if seen && snapshot.Evaluated() == before {
		return
	}
	if snapshot.Evaluated() < before {
		m.regressions++
	}
	if len(validation.CheckSnapshot(snapshot)) > 0 {
		m.danglingReferences++
	}
	m.highest[node] = snapshot.Evaluated()
}
