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
	// leaving is set once it has reported that it is about to exit. Answers may
	// arrive out of order, so a later one does not undo it.
	leaving bool
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
	change := g.reported.update(now, report)
	g.updateCredits(now)
	g.rate.set(now, report.RateLimit)
	g.reschedule(now)
	return change
}

// adoptRateLimit applies a rate limit that an entry node knows. It has no effect once
// the backend server itself has reported, or if a lower limit is known: a guard that
// has just started must not exceed the limit until the first answer.
func (g *Gate) adoptRateLimit(now time.Time, known call.RateLimit) {
	if g.reported.heard || !known.Limited {
		return
	}
	if !g.rate.limit.Limited || known.PerSecond < g.rate.limit.PerSecond {
		g.rate.set(now, known)
	}
}

func (r *reported) update(now time.Time, report call.ServerReport) ReportChange {
	change := ReportChange{
		RateLimitChanged: report.RateLimit != r.report.RateLimit,
		BeganLeaving:     report.Leaving && !r.leaving,
	}
	if change.RateLimitChanged {
		change.Before, change.After, change.Started = r.report.RateLimit, report.RateLimit, r.started
		if !r.limitedAt.IsZero() {
			change.Period = now.Sub(r.limitedAt)
		}
		r.limitedAt, r.started = now, 0
	}
	r.heard = true
	r.leaving = r.leaving || report.Leaving
	r.report = report
	return change
}
