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
	// convergeTarget is the stated time within which a ticket is in force
	// everywhere.
	convergeTarget = 17 * time.Second
	// drainTarget is the stated time after which a leaving backend server
	// gets no new calls.
	drainTarget = 2 * time.Second
	// drainLook is how long a drained backend server is looked at.
	drainLook = time.Second
	// statusTarget is the time within which the status of the fleet is whole.
	statusTarget = convergeTarget
	// servedShare is the share of calls that is served when nothing fails.
	servedShare = 0.99
	// phaseTime is how long calls are sent in the phases without an event.
	phaseTime = 1500 * time.Millisecond
	// startTime is how long nodes may take to start beside each other.
	startTime = 1500 * time.Millisecond
	// settleTime is how long calls are sent before and after an event.
	settleTime = 300 * time.Millisecond
	// downTime is how long a killed node stays away.
	downTime = time.Second
)

// show takes one fleet through its life and collects what was seen.
type show struct {
	fleet    *fleet
	traffic  *traffic
	promises promises
	phases   []phase
	out      io.Writer
	// slowest is the longest time from filed to judged everywhere.
	slowest time.Duration
}

// phase is a part of the show with what its callers saw.
type phase struct {
	name  string
	tally *tally
}

func newShow(ctx context.Context, deployment examples.Deployment, out io.Writer) (*show, error) {
	fleet, err := startFleet(ctx, deployment)
	if err != nil {
		return nil, err
	}
	return &show{fleet: fleet, traffic: newTraffic(fleet), out: out}, nil
}

func (s *show) say(format string, arguments ...any) {
	_, _ = fmt.Fprintf(s.out, "%-13s %s\n", s.fleet.deployment.Name+":", fmt.Sprintf(format, arguments...))
}

// run takes the fleet through all steps.
func (s *show) run(ctx context.Context) error {
	watchCtx, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	watch := watchVersions(watchCtx, s.fleet)
	steps := []func(context.Context) error{
		s.fileTickets, s.fileRejected, s.calm, s.drain, s.flood, s.stopGracefully, s.killAndRestart, s.followStatus,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	stopWatch()
	<-watch.stopped
	s.lookAtVersions(watch)
	s.lookAtCalls()
	return nil
}

// fileAndWait files a ticket and waits until every node has judged it.
func (s *show) fileAndWait(ctx context.Context, ticket state.Ticket) error {
	number, err := s.fleet.file(ticket)
	if err != nil {
		return err
	}
	took, err := s.fleet.waitJudged(ctx, number)
	if err != nil {
		return err
	}
	s.slowest = max(s.slowest, took)
	return nil
}

func (s *show) fileTickets(ctx context.Context) error {
	for _, ticket := range s.fleet.tickets {
		if err := s.fileAndWait(ctx, ticket); err != nil {
			return err
		}
	}
	if err := s.fleet.waitReady(ctx); err != nil {
		return err
	}
	s.say("tickets 1 to %d are in force on %d nodes", len(s.fleet.tickets), len(s.fleet.hosts))
	return nil
}

// fileRejected files a bad ticket and looks whether anything of it is applied.
func (s *show) fileRejected(ctx context.Context) error {
	before := s.fleet.running()[0].Snapshot()
	number, err := s.fleet.platform.FileTicket(s.fleet.deployment.Rejected)
	if err != nil {
		return err
	}
	if _, err := s.fleet.waitJudged(ctx, number); err != nil {
		return err
	}
	changed := 0
	for _, node := range s.fleet.running() {
		after := node.Snapshot()
		same := after.Accepted() == before.Accepted() && sameResources(before.Resources(), after.Resources())
		if !same {
			changed++
		}
	}
	s.promises.look(changed == 0, "a bad version is never applied in part",
		"ticket %d is rejected; %d of %d nodes changed", number, changed, len(s.fleet.hosts))
	s.say("ticket %d is rejected by every node", number)
	return nil
}

func sameResources(a, b state.Resources) bool {
	sameRoute := func(x, y state.Route) bool { return fmt.Sprint(x) == fmt.Sprint(y) }
	return slices.EqualFunc(a.Routes, b.Routes, sameRoute) &&
		slices.Equal(a.Services, b.Services) &&
		slices.Equal(a.BackendServers, b.BackendServers)
}

// calm sends calls of each class while nothing fails.
func (s *show) calm(ctx context.Context) error {
	// Guards tell a new idempotency key from one that may have run before
	// they started only when it is newer by the clock skew that they allow.
	if err := sleep(ctx, callrecord.DefaultClockSkew+startTime); err != nil {
		return err
	}
	send := func(action func() error) (*tally, error) { return s.traffic.during(ctx, action) }
	err := s.phase("calm", send, func() error { return sleep(ctx, phaseTime) })
	total := s.phases[len(s.phases)-1].tally.total()
	s.promises.look(float64(total.done) >= servedShare*float64(total.calls), "calls are served when nothing fails",
		"%d of %d calls served", total.done, total.calls)
	return err
}

// followStatus waits until a node tells that every host has judged the latest
// ticket.
func (s *show) followStatus(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, statusTarget)
	defer cancel()
	latest := state.TicketNumber(s.fleet.platform.TicketCount())
	err := waitUntil(ctx, func() bool {
		seen := 0
		for _, zone := range s.fleet.running()[0].TicketStatus(latest).Zones {
			seen += zone.InForce + zone.Rejected
		}
		return seen == len(s.fleet.hosts)
	})
	s.promises.look(err == nil, "where each ticket stands can be read back",
		"within %s a node tells of ticket %d on every host", statusTarget, latest)
	return nil
}

// phase runs an action with calls around it and keeps their tally.
func (s *show) phase(name string, send func(action func() error) (*tally, error), action func() error) error {
	tally, err := send(action)
	s.phases = append(s.phases, phase{name: name, tally: tally})
	total := tally.total()
	s.say("%s: %d calls, %d done, %d not run, %d may have run, %d cut",
		name, total.calls, total.done, total.notRun, total.mayHaveRun, total.cut)
	return err
}

// flood sends a flood of background work on top of calls of each class.
func (s *show) flood(ctx context.Context) error {
	usual, flood, err := s.traffic.flooded(ctx, func() error { return sleep(ctx, phaseTime) })
	if err != nil {
		return err
	}
	s.phases = append(s.phases, phase{name: "flood of background work", tally: usual})
	critical := usual.of(state.ClassCritical)
	s.promises.look(critical.calls > 0 && critical.notRun == 0, "urgent work comes first",
		"%d background calls flooded; %d of %d critical calls refused",
		flood.total().calls, critical.notRun, critical.calls)
	s.say("flood: %d background calls, %d done, %d not run; critical: %d calls, %d done",
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
