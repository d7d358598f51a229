package faults

import (
	"fmt"
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// Promise is one of the promises that must always hold.
type Promise int

// The promises, in the order of the users' page.
const (
	NeverBack Promise = iota + 1
	NoDanglingRoute
	NeverInPart
	WholeAnswer
	TrueNotRun
	AtMostOnce
	NoWorkWhenLeaving
	GracefulStop
	InForceEverywhere
)

var promiseNames = map[Promise]string{
	NeverBack:         "never back to an older version",
	NoDanglingRoute:   "no route to a missing resource",
	NeverInPart:       "never applied in part",
	WholeAnswer:       "whole answer to the own request",
	TrueNotRun:        "not run is true",
	AtMostOnce:        "non-idempotent at most once",
	NoWorkWhenLeaving: "no new work when leaving",
	GracefulStop:      "planned stop cuts nothing",
	InForceEverywhere: "in force everywhere within seconds",
}

// String returns the promise in words.
func (p Promise) String() string { return promiseNames[p] }

// Bounds that follow from the promises.
const (
	// leavingGrace is the time after which a leaving backend server gets no
	// new work.
	leavingGrace = 5 * time.Second
	// inForceWithin is the time in which a ticket is in force everywhere
	// once no fault is left.
	inForceWithin = 17 * time.Second
)

// Violation is a broken promise.
type Violation struct {
	Promise Promise
	Detail  string
}

// String describes the violation in one line.
func (v Violation) String() string { return fmt.Sprintf("%s: %s", v.Promise, v.Detail) }

// Check returns every broken promise in a history. A backend server may still
// note a run, so the history is locked meanwhile.
func Check(h *History) []Violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	checker := &checker{history: h}
	checker.checkNeverBack()
	checker.checkConfigurations()
	checker.checkAnswers()
	checker.checkNotRun()
	checker.checkAtMostOnce()
	checker.checkLeaving()
	checker.checkPlannedStops()
	checker.checkInForce()
	return checker.violations
}

type checker struct {
	history    *History
	violations []Violation
}

func (c *checker) report(promise Promise, format string, args ...any) {
	c.violations = append(c.violations, Violation{Promise: promise, Detail: fmt.Sprintf(format, args...)})
}

// checkNeverBack looks at what each node serves callers with. A restarted
// node that is not ready yet serves nobody.
func (c *checker) checkNeverBack() {
	latest := make(map[int]NodeSample)
	for _, sample := range c.history.Samples {
		if !sample.Ready {
			continue
		}
		before, seen := latest[sample.Host]
		if seen && (sample.Judged < before.Judged || sample.Accepted < before.Accepted) {
			c.report(NeverBack, "host %d went from ticket %d/%d to %d/%d",
				sample.Host, before.Judged, before.Accepted, sample.Judged, sample.Accepted)
		}
		latest[sample.Host] = sample
	}
}

func (c *checker) checkConfigurations() {
	digests := make(map[state.TicketNumber]string)
	for _, sample := range c.history.Samples {
		known, seen := digests[sample.Judged]
		if seen && known != sample.Digest {
			c.report(NeverInPart, "two nodes differ after ticket %d", sample.Judged)
		}
		digests[sample.Judged] = sample.Digest
	}
	for _, sample := range c.history.Configurations {
		c.checkConfiguration(sample)
	}
}

func (c *checker) checkConfiguration(sample ConfigurationSample) {
	servers := make(map[state.ServiceName]int)
	for _, server := range sample.Ticket.Set.BackendServers {
		servers[server.Service]++
	}
	for _, route := range sample.Ticket.Set.Routes {
		if servers[route.Service] == 0 {
			c.report(NoDanglingRoute, "host %d has route %q without backend servers at ticket %d",
				sample.Host, route.Name, sample.Ticket.Number)
		}
	}
	if c.history.Rejected[sample.Ticket.Number] {
		c.report(NeverInPart, "host %d has applied the bad ticket %d", sample.Host, sample.Ticket.Number)
	}
	for _, marker := range markersOf(sample.Ticket) {
		if marker != sample.Ticket.Number {
			c.report(NeverInPart, "host %d has parts of ticket %d at ticket %d", sample.Host, marker, sample.Ticket.Number)
			return
		}
	}
}

func (c *checker) checkAnswers() {
	for _, call := range c.history.Calls {
		if call.Outcome == state.OutcomeDone.String() && call.BodyEnded && !call.BodyRight {
			c.report(WholeAnswer, "call %s ended as whole with a wrong body", call.CallID)
		}
	}
}

func (c *checker) checkNotRun() {
	runs := make(map[string]bool)
	for _, run := range c.history.Runs {
		runs[run.CallID] = true
	}
	for _, call := range c.history.Calls {
		if call.Outcome == state.OutcomeNotRun.String() && runs[call.CallID] {
			c.report(TrueNotRun, "call %s (%s) was refused as not run and has run", call.CallID, call.Kind.Name)
		}
	}
}

func (c *checker) checkAtMostOnce() {
	runs := make(map[string]int)
	for _, run := range c.history.Runs {
		if run.Key != "" {
			runs[run.Key]++
		}
	}
	for key, count := range runs {
		if count > 1 {
			c.report(AtMostOnce, "the call with key %s ran %d times", key, count)
		}
	}
}

func (c *checker) checkLeaving() {
	for _, drain := range c.history.Drains {
		after := drain.At
		if c.history.Healed.After(after) && !c.history.OnlyPlannedStops {
			after = c.history.Healed
		}
		for _, run := range c.history.Runs {
			if run.Host == drain.Host && run.At.After(after.Add(leavingGrace)) {
				c.report(NoWorkWhenLeaving, "host %d got call %s %v after it was to drain", run.Host, run.CallID, run.At.Sub(drain.At))
			}
		}
	}
}

func (c *checker) checkPlannedStops() {
	if !c.history.OnlyPlannedStops {
		return
	}
	for _, call := range c.history.Calls {
		if call.Connected && (!call.Answered || !call.BodyEnded) {
			c.report(GracefulStop, "a %s call was cut: %s", call.Kind.Name, call.Failure)
		}
	}
}

func (c *checker) checkInForce() {
	last := make(map[int]NodeSample)
	for _, sample := range c.history.Samples {
		last[sample.Host] = sample
		late := sample.At.After(c.history.Healed.Add(inForceWithin))
		if late && sample.Accepted != c.history.LatestAccepted {
			c.report(InForceEverywhere, "host %d is at ticket %d, %v after the last fault, want %d",
				sample.Host, sample.Accepted, sample.At.Sub(c.history.Healed), c.history.LatestAccepted)
			return
		}
	}
	for host, sample := range last {
		if !sample.Ready || c.history.End.Sub(sample.At) > inForceWithin {
			c.report(InForceEverywhere, "host %d does not serve at the end", host)
		}
	}
}
