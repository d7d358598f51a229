// Package calllog logs the calls that operators may have to investigate: those
// that failed, were refused, were truncated or needed more than one attempt.
// Calls that succeed at the first attempt only appear in the metrics of package
// metrics.
package calllog

import (
	"fmt"
	"strings"
	"time"

	"github.com/go-logr/logr"

	"github.com/wasabiport/wasabiport/coordination/drain"
	"github.com/wasabiport/wasabiport/state"
	"github.com/wasabiport/wasabiport/transport/entry"
	"github.com/wasabiport/wasabiport/transport/events"
)

// StalenessReporter reports the age of the configuration and of the backend
// server registry.
type StalenessReporter interface {
	// Staleness returns the time since the source last confirmed the
	// configuration, or false if it never did.
	Staleness(now time.Time) (time.Duration, bool)
	// HostListStaleness returns the same for the list of hosts and registered
	// backend servers.
	HostListStaleness(now time.Time) (time.Duration, bool)
}

// Observer logs calls and forwards them to another observer.
type Observer struct {
	entry.Observer
	staleness StalenessReporter
	logger    logr.Logger
	limiter   *events.LineLimiter
}

// New returns an observer that forwards to next.
func New(next entry.Observer, staleness StalenessReporter, limiter *events.LineLimiter, logger logr.Logger) *Observer {
	return &Observer{Observer: next, staleness: staleness, logger: logger, limiter: limiter}
}

// CallFinished logs a call unless it succeeded at the first attempt, within the limit on
// log lines.
func (o *Observer) CallFinished(result entry.CallResult) {
	o.Observer.CallFinished(result)
	if result.Reason == 0 && !result.Truncated && countWithoutBusy(result.Attempts) <= 1 {
		return
	}
	now := time.Now()
	suppressed, ok := o.allowLine(now, result)
	if !ok {
		return
	}
	leaving := describeLeaving(result.Leaving)
	events.Log(o.logger, events.CallEnded{
		Call:      result.ID,
		Route:     result.Route,
		Class:     result.Class,
		Ticket:    result.Ticket,
		Duration:  result.Duration.Round(time.Microsecond),
		Remaining: result.Remaining.Round(time.Millisecond),

		TicketAge:       formatAge(o.staleness.Staleness(now)),
		RegistryVersion: result.RegistryVersion,
		RegistryAge:     formatAge(o.staleness.HostListStaleness(now)),

		Outcome:    outcome(result),
		Reason:     reason(result),
		Detail:     result.Detail,
		Attempts:   formatAttempts(result.Attempts),
		Suppressed: suppressed,

		LeavingArrived: leaving.arrived,
		LeavingEnded:   leaving.ended,
		LeavingResult:  leaving.result,
	})
}

// countWithoutBusy returns the number of attempts that were not passed on, which is
// normal operation.
func countWithoutBusy(attempts []entry.Attempt) int {
	count := 0
	for _, attempt := range attempts {
		if attempt.Refusal == nil || attempt.Refusal.Reason != state.RefusedBusy {
			count++
		}
	}
	return count
}

// allowLine applies the limit on log lines. A call that a leaving node has broken off is
// always logged.
func (o *Observer) allowLine(now time.Time, result entry.CallResult) (suppressed int64, ok bool) {
	if result.Leaving != nil && result.Leaving.Result == drain.ResultBrokenOff {
		return o.limiter.Force(), true
	}
	return o.limiter.Allow(now)
}

// leavingFields are the fields on a call that ended at a leaving node, empty for any
// other call.
type leavingFields struct {
	arrived, ended *time.Duration
	result         string
}

func describeLeaving(end *entry.LeavingEnd) leavingFields {
	if end == nil {
		return leavingFields{}
	}
	arrived, ended := end.Arrived.Round(time.Microsecond), end.Ended.Round(time.Microsecond)
	return leavingFields{arrived: &arrived, ended: &ended, result: end.Result.String()}
}

func formatAge(age time.Duration, confirmed bool) string {
	if !confirmed {
		return "never"
	}
	return age.Round(time.Millisecond).String()
}

func outcome(result entry.CallResult) string {
	if result.Truncated {
		return "cut"
	}
	return result.Outcome.String()
}

func reason(result entry.CallResult) string {
	if result.Reason == 0 {
		return ""
	}
	return result.Reason.String()
}

// formatAttempts returns all attempts in order on one line.
func formatAttempts(list []entry.Attempt) string {
	var line strings.Builder
	for i, attempt := range list {
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
