package faults

import (
	"fmt"
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// Guarantee identifies a guarantee of the system that must hold under any fault.
type Guarantee int

// The guarantees, in the order of docs/DESIGN.md.
const (
	MonotonicVersions Guarantee = iota + 1
	NoDanglingRoutes
	AtomicUpdates
	CompleteAnswer
	AccurateNotRun
	AtMostOnce
	NoNewWorkWhenDraining
	GracefulShutdown
	Convergence
)

var guaranteeNames = map[Guarantee]string{
	MonotonicVersions:     "versions never go back",
	NoDanglingRoutes:      "no route refers to a missing resource",
	AtomicUpdates:         "updates are atomic",
	CompleteAnswer:        "answers are complete and match the request",
	AccurateNotRun:        "\"not run\" is accurate",
	AtMostOnce:            "non-idempotent calls run at most once",
	NoNewWorkWhenDraining: "no new work when draining",
	GracefulShutdown:      "planned shutdowns interrupt no call",
	Convergence:           "tickets are in force everywhere within seconds",
}

// String returns a short description of the guarantee.
func (g Guarantee) String() string { return guaranteeNames[g] }

// Time limits of the guarantees.
const (
	// drainGrace is the time after which a draining backend server must not
	// receive new calls.
	drainGrace = 5 * time.Second
	// convergenceTimeout is the time within which a ticket must be in force
	// everywhere once the last fault has ended.
	convergenceTimeout = 17 * time.Second
)

// Violation describes a guarantee that did not hold.
type Violation struct {
	Guarantee Guarantee
	Detail    string
}

// String returns the guarantee and the detail on one line.
func (v Violation) String() string { return fmt.Sprintf("%s: %s", v.Guarantee, v.Detail) }

// Check returns every violation of a guarantee in a history. It locks the
// history, because a backend server may still record a run.
func Check(h *History) []Violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	checker := &checker{history: h}
	checker.checkMonotonicVersions()
	checker.checkConfigurations()
	checker.checkAnswers()
	checker.checkNotRun()
	checker.checkAtMostOnce()
	checker.checkDraining()
	checker.checkPlannedShutdowns()
	checker.checkConvergence()
	return checker.violations
}

type checker struct {
	history    *History
	violations []Violation
}

func (c *checker) report(guarantee Guarantee, format string, args ...any) {
	c.violations = append(c.violations, Violation{Guarantee: guarantee, Detail: fmt.Sprintf(format, args...)})
}

// checkMonotonicVersions checks the versions with which each node serves
// callers. A restarted node that is not ready yet serves none.
func (c *checker) checkMonotonicVersions() {
	latest := make(map[int]NodeSample)
	for _, sample := range c.history.Samples {
		if !sample.Ready {
			continue
		}
		before, seen := latest[sample.Host]
		if seen && (sample.Evaluated < before.Evaluated || sample.Accepted < before.Accepted) {
			c.report(MonotonicVersions, "host %d went from ticket %d/%d to %d/%d",
				sample.Host, before.Evaluated, before.Accepted, sample.Evaluated, sample.Accepted)
		}
		latest[sample.Host] = sample
	}
}

func (c *checker) checkConfigurations() {
	digests := make(map[state.TicketNumber]string)
	for _, sample := range c.history.Samples {
		digest, seen := digests[sample.Evaluated]
		if seen && digest != sample.Digest {
			c.report(AtomicUpdates, "two nodes have different configurations after ticket %d", sample.Evaluated)
		}
		digests[sample.Evaluated] = sample.Digest
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
			c.report(NoDanglingRoutes, "host %d has route %q without backend servers at ticket %d",
				sample.Host, route.Name, sample.Ticket.Number)
		}
	}
	if c.history.Rejected[sample.Ticket.Number] {
		c.report(AtomicUpdates, "host %d has applied the invalid ticket %d", sample.Host, sample.Ticket.Number)
	}
	for _, marker := range markersOf(sample.Ticket) {
		if marker != sample.Ticket.Number {
			c.report(AtomicUpdates, "host %d has parts of ticket %d at ticket %d", sample.Host, marker, sample.Ticket.Number)
			return
		}
	}
}

func (c *checker) checkAnswers() {
	for _, call := range c.history.Calls {
		if call.Outcome == state.OutcomeDone.String() && call.BodyComplete && !call.BodyCorrect {
			c.report(CompleteAnswer, "call %s ended as complete with an incorrect body", call.CallID)
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
			c.report(AccurateNotRun, "call %s (%s) was refused as not run but has run", call.CallID, call.Kind.Name)
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

func (c *checker) checkDraining() {
	for _, drain := range c.history.Drains {
		after := drain.At
		if c.history.HealedAt.After(after) && !c.history.OnlyPlannedShutdowns {
			after = c.history.HealedAt
		}
		for _, run := range c.history.Runs {
			if run.Host == drain.Host && run.At.After(after.Add(drainGrace)) {
				c.report(NoNewWorkWhenDraining, "host %d received call %s %v after it was set to draining", run.Host, run.CallID, run.At.Sub(drain.At))
			}
		}
	}
}

func (c *checker) checkPlannedShutdowns() {
	if !c.history.OnlyPlannedShutdowns {
		return
	}
	for _, call := range c.history.Calls {
		if call.Connected && (!call.Answered || !call.BodyComplete) {
			c.report(GracefulShutdown, "a %s call was interrupted: %s", call.Kind.Name, call.Failure)
		}
	}
}

func (c *checker) checkConvergence() {
	last := make(map[int]NodeSample)
	for _, sample := range c.history.Samples {
		last[sample.Host] = sample
		late := sample.At.After(c.history.HealedAt.Add(convergenceTimeout))
		if late && sample.Accepted != c.history.LatestAccepted {
			c.report(Convergence, "host %d is at ticket %d, %v after the last fault, want %d",
				sample.Host, sample.Accepted, sample.At.Sub(c.history.HealedAt), c.history.LatestAccepted)
			return
		}
	}
	for host, sample := range last {
		if !sample.Ready || c.history.End.Sub(sample.At) > convergenceTimeout {
			c.report(Convergence, "host %d does not serve at the end of the run", host)
		}
	}
}
