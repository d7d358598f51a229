package guard

import (
	"time"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/transport/events"
)

// applyReport records what the backend server says of itself, if anything.
func (g *gate) applyReport(report *call.ServerReport) {
	if report == nil {
		return
	}
	change := g.admission.Report(time.Now(), g.server.Incarnation, *report)
	g.awaitGrant()
	if change.RateLimitChanged {
		events.Log(g.logger, events.BackendServerRateLimited{
			BackendServer: g.server.Name,
			Limited:       change.After.Limited,
			PerSecond:     change.After.PerSecond,
			Before:        change.Before.PerSecond,
			Started:       change.Started,
			Period:        change.Period,
		})
	}
	if change.BeganLeaving {
		events.Log(g.logger, events.BackendServerLeaving{BackendServer: g.server.Name})
	}
}
