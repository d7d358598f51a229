package guard

import (
	"time"

	"github.com/wasabiport/wasabiport/coordination/admission"
	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/transport/events"
)

// applyReport records what the backend server says of itself, if anything.
func (g *gate) applyReport(report *call.ServerReport) {
	if report == nil {
		return
	}
	now := time.Now()
	change := g.admission.Report(now, g.server.Incarnation, *report)
	g.awaitGrant()
	if change.RateLimitChanged {
		g.logRateLimit(now, change)
	}
	if change.BeganLeaving {
		events.Log(g.logger, events.BackendServerLeaving{BackendServer: g.server.Name})
	}
}

// logRateLimit logs a change of the rate limit, within the limit on log lines.
func (g *gate) logRateLimit(now time.Time, change admission.ReportChange) {
	suppressed, ok := g.reportLimiter.Allow(now)
	if !ok {
		return
	}
	events.Log(g.logger, events.BackendServerRateLimited{
		BackendServer: g.server.Name,
		Limited:       change.After.Limited,
		PerSecond:     change.After.PerSecond,
		Before:        change.Before.PerSecond,
		Started:       change.Started,
		Period:        change.Period,
		Suppressed:    suppressed,
	})
}
