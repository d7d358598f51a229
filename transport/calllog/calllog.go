// Package calllog logs the calls that an engineer may be asked about: those
// that failed, were refused, were cut or needed more than one attempt. Calls
// that go well are counted by package metrics alone.
package calllog

import (
	"fmt"
	"strings"
	"time"

	"github.com/go-logr/logr"

	"github.com/wasabiport/wasabiport/transport/entry"
	"github.com/wasabiport/wasabiport/transport/events"
)

// StalenessReporter tells how old what a call went by is.
type StalenessReporter interface {
	// Staleness returns the time since the source has confirmed the
	// configuration, or false when it never has.
	Staleness(now time.Time) (time.Duration, bool)
	// HostListStaleness does the same for the backend servers.
	HostListStaleness(now time.Time) (time.Duration, bool)
}

// Observer logs calls and passes them on to another observer.
type Observer struct {
	entry.Observer
	ages   StalenessReporter
	logger logr.Logger
	limit  *events.LineLimiter
}

// New returns an observer that passes on to next.
func New(next entry.Observer, ages StalenessReporter, limit *events.LineLimiter, logger logr.Logger) *Observer {
	return &Observer{Observer: next, ages: ages, logger: logger, limit: limit}
}

// CallFinished logs a call if it did not simply go well.
func (o *Observer) CallFinished(ended entry.CallResult) {
	o.Observer.CallFinished(ended)
	if ended.Reason == 0 && !ended.Truncated && len(ended.Attempts) <= 1 {
		return
	}
	now := time.Now()
	leftOut, ok := o.limit.Allow(now)
	if !ok {
		return
	}
	events.Log(o.logger, events.CallEnded{
		Call:      ended.ID,
		Route:     ended.Route,
		Class:     ended.Class,
		Ticket:    ended.Ticket,
		Duration:  ended.Duration.Round(time.Microsecond),
		Remaining: ended.Remaining.Round(time.Millisecond),

		TicketAge:       ageOf(o.ages.Staleness(now)),
		RegistryVersion: ended.RegistryVersion,
		RegistryAge:     ageOf(o.ages.HostListStaleness(now)),

		Outcome:    outcome(ended),
		Reason:     reason(ended),
		Detail:     ended.Detail,
		Attempts:   attempts(ended.Attempts),
		Suppressed: leftOut,
	})
}

func ageOf(age time.Duration, known bool) string {
	if !known {
		return "never"
	}
	return age.Round(time.Millisecond).String()
}

func outcome(ended entry.CallResult) string {
	if ended.Truncated {
		return "cut"
	}
	return ended.Outcome.String()
}

func reason(ended entry.CallResult) string {
	if ended.Reason == 0 {
		return ""
	}
	return ended.Reason.String()
}

// attempts returns one line for all attempts, in order.
func attempts(made []entry.Attempt) string {
	var line strings.Builder
	for i, attempt := range made {
		if i > 0 {
			line.WriteString("; ")
		}
		fmt.Fprintf(&line, "%s %s ", attempt.BackendServer, attempt.Duration.Round(time.Millisecond))
		if attempt.Refusal == nil {
			line.WriteString("answered")
			continue
		}
		fmt.Fprintf(&line, "%s %s", attempt.Refusal.Reason, attempt.Refusal.Outcome)
	}
	return line.String()
}
