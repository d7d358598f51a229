package demo

import (
	"context"
	"time"

	"github.com/wasabiport/wasabiport"
	"github.com/wasabiport/wasabiport/coordination/validation"
	"github.com/wasabiport/wasabiport/state"
)

// watchInterval is the time between two looks at the nodes.
const watchInterval = 5 * time.Millisecond

// versionWatch looks at what the nodes have in force, as an operator would.
type versionWatch struct {
	highest map[*wasabiport.Node]state.TicketNumber
	// wentBack counts nodes that were seen at an older ticket than before.
	wentBack int
	// dangling counts configurations with a reference that does not resolve.
	dangling int
	stopped  chan struct{}
}

// watchVersions looks at all nodes until ctx ends.
func watchVersions(ctx context.Context, fleet *fleet) *versionWatch {
	watch := &versionWatch{
		highest: make(map[*wasabiport.Node]state.TicketNumber),
		stopped: make(chan struct{}),
	}
	go watch.run(ctx, fleet)
	return watch
}

func (w *versionWatch) run(ctx context.Context, fleet *fleet) {
	defer close(w.stopped)
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			for _, node := range fleet.running() {
				w.look(node)
			}
		}
	}
}

func (w *versionWatch) look(node *wasabiport.Node) {
	snapshot := node.Snapshot()
	before, seen := w.highest[node]
	if seen && snapshot.Evaluated() == before {
		return
	}
	if snapshot.Evaluated() < before {
		w.wentBack++
	}
	if len(validation.CheckSnapshot(snapshot)) > 0 {
		w.dangling++
	}
	w.highest[node] = snapshot.Evaluated()
}
