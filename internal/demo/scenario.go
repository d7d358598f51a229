package demo

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/wasabiport/wasabiport/coordination/callrecord"
	"github.com/wasabiport/wasabiport/examples"
	"github.com/wasabiport/wasabiport/state"
)

const (
	// convergeTarget is the documented time within which a ticket is in force
	// everywhere.
	convergeTarget = 17 * time.Second
	// drainTarget is the documented time after which a draining backend server
	// receives no new calls.
	drainTarget = 2 * time.Second
	// drainObserveTime is how long a draining backend server is observed.
	drainObserveTime = time.Second
	// statusTarget is the time within which the fleet status is complete.
	statusTarget = convergeTarget
	// minServedShare is the minimum share of calls served without failures.
	minServedShare = 0.99
	// phaseTime is the duration of the phases without an event.
	phaseTime = 1500 * time.Millisecond
	// startSkew is the maximum time between the starts of two nodes.
	startSkew = 1500 * time.Millisecond
	// settleTime is the time under load before and after an event.
	settleTime = 300 * time.Millisecond
	// restartDelay is the time between the kill and the restart of a node.
	restartDelay = time.Second
)

// scenario runs the phases of the demonstration on one fleet and collects the
// results.
type scenario struct {
	fleet      *fleet
	traffic    *traffic
	guarantees guarantees
	phases     []phase
	out        io.Writer
	// maxConvergence is the longest time from the publication of a ticket to
	// its evaluation on every node.
	maxConvergence time.Duration
}

// phase is a part of the scenario and the statistics of its calls.
type phase struct {
	name  string
	stats *callStats
}

func newScenario(ctx context.Context, deployment examples.Deployment, out io.Writer) (*scenario, error) {
	fleet, err := startFleet(ctx, deployment)
	if err != nil {
		return nil, err
	}
	return &scenario{fleet: fleet, traffic: newTraffic(fleet), out: out}, nil
}

func (s *scenario) logf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(s.out, "%-13s %s\n", s.fleet.deployment.Name+":", fmt.Sprintf(format, arguments...))
}

// run executes all steps of the scenario.
func (s *scenario) run(ctx context.Context) error {
	monitorCtx, stopMonitor := context.WithCancel(ctx)
	defer stopMonitor()
	monitor := monitorVersions(monitorCtx, s.fleet)
	steps := []func(context.Context) error{
		s.publishTickets, s.publishInvalidTicket, s.calm, s.drain, s.flood, s.stopGracefully, s.killAndRestart, s.waitForStatus,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	stopMonitor()
	<-monitor.stopped
	s.checkVersions(monitor)
	s.checkCalls()
	return nil
}

// publishAndWait publishes a ticket and waits until every node has evaluated it.
func (s *scenario) publishAndWait(ctx context.Context, ticket state.Ticket) error {
	number, err := s.fleet.publish(ticket)
	if err != nil {
		return err
	}
	took, err := s.fleet.waitEvaluated(ctx, number)
	if err != nil {
		return err
	}
	s.maxConvergence = max(s.maxConvergence, took)
	return nil
}

func (s *scenario) publishTickets(ctx context.Context) error {
	for _, ticket := range s.fleet.tickets {
		if err := s.publishAndWait(ctx, ticket); err != nil {
			return err
		}
	}
	if err := s.fleet.waitReady(ctx); err != nil {
		return err
	}
	s.logf("tickets 1 to %d are in force on %d nodes", len(s.fleet.tickets), len(s.fleet.hosts))
	return nil
}

// publishInvalidTicket publishes an invalid ticket and checks that no part of it
// is applied.
func (s *scenario) publishInvalidTicket(ctx context.Context) error {
	before := s.fleet.runningNodes()[0].Snapshot()
	number, err := s.fleet.platform.PublishTicket(s.fleet.deployment.Rejected)
	if err != nil {
		return err
	}
	if _, err := s.fleet.waitEvaluated(ctx, number); err != nil {
		return err
	}
	changed := 0
	for _, node := range s.fleet.runningNodes() {
		after := node.Snapshot()
		same := after.Accepted() == before.Accepted() && sameResources(before.Resources(), after.Resources())
		if !same {
			changed++
		}
	}
	s.guarantees.check(changed == 0, "a bad version is never applied in part",
		"ticket %d is rejected; %d of %d nodes changed", number, changed, len(s.fleet.hosts))
	s.logf("ticket %d is rejected by every node", number)
	return nil
}

func sameResources(a, b state.Resources) bool {
	sameRoute := func(x, y state.Route) bool { return fmt.Sprint(x) == fmt.Sprint(y) }
	return slices.EqualFunc(a.Routes, b.Routes, sameRoute) &&
		slices.Equal(a.Services, b.Services) &&
		slices.Equal(a.BackendServers, b.BackendServers)
}

// calm sends calls of each class without any failure.
func (s *scenario) calm(ctx context.Context) error {
	// A guard accepts an idempotency key as new only if its time is later than
	// the start of the guard by more than the allowed clock skew. Older keys
	// may have run before the guard started.
	if err := sleep(ctx, callrecord.DefaultClockSkew+startSkew); err != nil {
		return err
	}
	send := func(action func() error) (*callStats, error) { return s.traffic.sendDuring(ctx, action) }
	err := s.phase("calm", send, func() error { return sleep(ctx, phaseTime) })
	total := s.phases[len(s.phases)-1].stats.total()
	s.guarantees.check(float64(total.done) >= minServedShare*float64(total.calls), "calls are served when nothing fails",
		"%d of %d calls served", total.done, total.calls)
	return err
}

// waitForStatus waits until a node reports that every host has evaluated the
// latest ticket.
func (s *scenario) waitForStatus(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, statusTarget)
	defer cancel()
	latest := state.TicketNumber(s.fleet.platform.TicketCount())
	err := waitUntil(ctx, func() bool {
		reported := 0
		for _, zone := range s.fleet.runningNodes()[0].TicketStatus(latest).Zones {
			reported += zone.InForce + zone.Rejected
		}
		return reported == len(s.fleet.hosts)
	})
	s.guarantees.check(err == nil, "where each ticket stands can be read back",
		"within %s a node reports ticket %d for every host", statusTarget, latest)
	return nil
}

// phase runs an action under load and stores the statistics of the calls.
func (s *scenario) phase(name string, send func(action func() error) (*callStats, error), action func() error) error {
	stats, err := send(action)
	s.phases = append(s.phases, phase{name: name, stats: stats})
	total := stats.total()
	s.logf("%s: %d calls, %d done, %d not run, %d may have run, %d cut",
		name, total.calls, total.done, total.notRun, total.mayHaveRun, total.interrupted)
	return err
}

// flood sends a flood of background calls in addition to calls of each class.
func (s *scenario) flood(ctx context.Context) error {
	regular, flood, err := s.traffic.floodDuring(ctx, func() error { return sleep(ctx, phaseTime) })
	if err != nil {
		return err
	}
	s.phases = append(s.phases, phase{name: "flood of background work", stats: regular})
	critical := regular.countsOf(state.ClassCritical)
	s.guarantees.check(critical.calls > 0 && critical.notRun == 0, "urgent work comes first",
		"%d background calls flooded; %d of %d critical calls refused",
		flood.total().calls, critical.notRun, critical.calls)
	s.logf("flood: %d background calls, %d done, %d not run; critical: %d calls, %d done",
		flood.total().calls, flood.total().done, flood.total().notRun, critical.calls, critical.done)
	return nil
}

func sleep(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
