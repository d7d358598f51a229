package admission

import (
	"time"

	"github.com/wasabiport/wasabiport/coordination/call"
)

// reported is what the backend server has said of itself since it started.
type reported struct {
	// heard is set once it has said anything.
	heard  bool
	report call.ServerReport
	// limitedAt is when the rate limit was reported first, or changed. started is
	// the number of calls that got a slot since then.
	limitedAt time.Time
	started   int
}

// ReportChange describes how a report differs from the one before.
type ReportChange struct {
	// RateLimitChanged is set when the backend server has set, changed or ended a rate
	// limit. Before was in force for Period, in which Started calls got a slot.
	RateLimitChanged bool
	Before, After    call.RateLimit
	Period           time.Duration
	Started          int
	// BeganLeaving is set when the backend server has reported for the first time
	// that it is about to exit.
	BeganLeaving bool
}

// Report records what the backend server says of itself. A report of another
// incarnation than the configured one has no effect.
func (g *Gate) Report(now time.Time, incarnation int64, report call.ServerReport) ReportChange {
	g.mu.Lock()
	defer g.mu.Unlock()
	if incarnation != g.server.Incarnation {
		return ReportChange{}
	}
	return g.reported.update(now, report)
}

func (r *reported) update(now time.Time, report call.ServerReport) ReportChange {
	change := ReportChange{
		RateLimitChanged: report.RateLimit != r.report.RateLimit,
		BeganLeaving:     report.Leaving && !r.report.Leaving,
	}
	if change.RateLimitChanged {
		change.Before, change.After, change.Started = r.report.RateLimit, report.RateLimit, r.started
		if !r.limitedAt.IsZero() {
			change.Period = now.Sub(r.limitedAt)
		}
		r.limitedAt, r.started = now, 0
	}
	r.heard = true
	r.report = report
	return change
}
