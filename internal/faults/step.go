package faults

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiport/wasabiport/state"
)

// Step is a moment in the life of a ticket or a call.
type Step struct {
	Name string
	// Same says why no moment of its own can be told apart for the step, as
	// seen from outside. It is empty for steps that can be run.
	Same string
	// Reach brings the fleet to the step.
	Reach func(ctx context.Context, f *Fleet) error
}

// Times at which a call reaches a step, when nothing can be seen from outside.
const (
	// untilAccepted covers the caller's connection and its request.
	untilAccepted = 2*linkLatency + linkLatency/2
	// untilSent is a moment at which the call travels to the guard.
	untilSent = 3*linkLatency + linkLatency/2
	// untilQueued is a moment at which a call waits at a full guard.
	untilQueued = 20 * time.Millisecond
	// untilAnswering is a moment at which a drawing is being streamed: its
	// service time is over and a part of its chunks has been sent.
	untilAnswering = 60 * time.Millisecond
	// untilReported covers the report of a ticket that is in force.
	untilReported = 500 * time.Millisecond
	// pollInterval is how often a condition is looked at.
	pollInterval = 500 * time.Microsecond
	// reachWithin bounds the time to reach a step.
	reachWithin = 10 * time.Second
)

// Steps returns every step of a ticket and of a call.
func Steps() []Step {
	return append(ticketSteps(), callSteps()...)
}

func ticketSteps() []Step {
	return []Step{
		{Name: "ticket published", Reach: func(_ context.Context, f *Fleet) error { return f.FileTicket() }},
		{Name: "ticket read", Reach: fileAndWait((*Fleet).sourceWasRead)},
		{Name: "ticket checked", Same: "judging is a pure function that takes no time between read and swapped"},
		{Name: "ticket swapped", Reach: fileAndWait(func(f *Fleet) bool { return f.nodesAtLatest() >= 1 })},
		{Name: "ticket passed on", Reach: fileAndWait(func(f *Fleet) bool { return f.nodesAtLatest() >= hostCount/2 })},
		{Name: "ticket reported", Reach: func(ctx context.Context, f *Fleet) error {
			reach := fileAndWait(func(f *Fleet) bool { return f.nodesAtLatest() == hostCount })
			if err := reach(ctx, f); err != nil {
				return err
			}
			time.Sleep(untilReported)
			return nil
		}},
	}
}

func callSteps() []Step {
	return []Step{
		{Name: "call accepted", Reach: startCall(Notice, untilAccepted)},
		{Name: "call picked", Same: "picking takes no time between accepted and sent to guard"},
		{Name: "call sent to guard", Reach: startCall(Notice, untilSent)},
		{Name: "call queued", Reach: func(ctx context.Context, f *Fleet) error {
			f.fillSlots()
			return startCall(Notice, untilQueued)(ctx, f)
		}},
		{Name: "call sent to backend server", Reach: func(ctx context.Context, f *Fleet) error {
			key := f.startNotice()
			return f.waitFor(ctx, func(f *Fleet) bool { return f.History.hasRun(key) })
		}},
		{Name: "call answering", Reach: func(ctx context.Context, f *Fleet) error {
			if err := startCall(Browse, 0)(ctx, f); err != nil {
				return err
			}
			return startCall(Drawing, untilAnswering)(ctx, f)
		}},
		{Name: "call answered", Reach: func(_ context.Context, f *Fleet) error {
			f.Call(Notice, 0)
			return nil
		}},
		{Name: "call recorded", Reach: func(_ context.Context, f *Fleet) error {
			key := newKey(Notice)
			if record := f.attempt(Notice, 0, key); record.Status != http.StatusOK {
				return errors.Newf("the call to be recorded got status %d", record.Status)
			}
			for entry := range hostCount {
				f.threads.Go(func() { f.attemptLater(Notice, entry, key) })
			}
			return nil
		}},
	}
}

// fileAndWait files a ticket and waits for a condition.
func fileAndWait(reached func(f *Fleet) bool) func(context.Context, *Fleet) error {
	return func(ctx context.Context, f *Fleet) error {
		f.sourceReads.Store(0)
		if err := f.FileTicket(); err != nil {
			return err
		}
		return f.waitFor(ctx, reached)
	}
}

// startCall starts a call at every entry and waits for a time.
func startCall(kind Kind, wait time.Duration) func(context.Context, *Fleet) error {
	return func(_ context.Context, f *Fleet) error {
		for entry := range hostCount {
			f.threads.Go(func() { f.Call(kind, entry) })
		}
		time.Sleep(wait)
		return nil
	}
}

func (f *Fleet) waitFor(ctx context.Context, reached func(f *Fleet) bool) error {
	ctx, cancel := context.WithTimeout(ctx, reachWithin)
	defer cancel()
	for !reached(f) {
		if ctx.Err() != nil {
			return errors.New("the step was not reached")
		}
		time.Sleep(pollInterval)
	}
	return nil
}

func (f *Fleet) sourceWasRead() bool { return f.sourceReads.Load() > 0 }

func (f *Fleet) nodesAtLatest() int {
	count := 0
	for i := range hostCount {
		if node, _ := f.node(i); node != nil && node.Version().Evaluated >= f.filed {
			count++
		}
	}
	return count
}

// fillSlots occupies every slot for a while.
func (f *Fleet) fillSlots() {
	long := Status
	long.ServiceTime = 300 * time.Millisecond
	long.Class = state.ClassHigh
	for i := range hostCount * slotsPerBackend {
		f.threads.Go(func() { f.attempt(long, i%hostCount, "") })
	}
	time.Sleep(untilQueued)
}

func (f *Fleet) startNotice() (key string) {
	key = newKey(Notice)
	f.threads.Go(func() {
		for attempt := range 1 + resends {
			record := f.attempt(Notice, attempt, key)
			if record.Status == http.StatusOK || !f.pause(resendAfter) {
				return
			}
		}
	})
	return key
}

// attemptLater sends a call that is done already once more.
func (f *Fleet) attemptLater(kind Kind, entry int, key string) {
	if f.pause(resendAfter) {
		f.attempt(kind, entry, key)
	}
}
