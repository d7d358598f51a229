package faults

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiport/wasabiport/state"
)

// Step is a point in the lifecycle of a ticket or a call.
type Step struct {
	Name string
	// SkipReason explains why the step can't be distinguished from another one
	// from the outside. It is empty for steps that are run.
	SkipReason string
	// Reach brings the fleet to the step.
	Reach func(ctx context.Context, f *Fleet) error
}

// Delays after which a call or ticket has reached a step that can't be observed
// from the outside.
const (
	// acceptDelay covers the time to connect and to send the request.
	acceptDelay = 2*linkLatency + linkLatency/2
	// sendDelay ends while the call is in transit to the guard.
	sendDelay = 3*linkLatency + linkLatency/2
	// queueDelay ends while a call is queued at a guard without free slots.
	queueDelay = 20 * time.Millisecond
	// answerDelay ends while a drawing is being streamed: its service time is
	// over and some of its chunks have been sent.
	answerDelay = 60 * time.Millisecond
	// reportDelay covers the status report of a ticket that is in force.
	reportDelay = 500 * time.Millisecond
	// pollInterval is the time between two checks of a condition.
	pollInterval = 500 * time.Microsecond
	// reachTimeout limits the time to reach a step.
	reachTimeout = 10 * time.Second
)

// Steps returns the steps of a ticket and of a call, in the order of the rows
// of the matrix.
func Steps() []Step {
	return append(ticketSteps(), callSteps()...)
}

func ticketSteps() []Step {
	return []Step{
		{Name: "ticket published", Reach: func(_ context.Context, f *Fleet) error { return f.PublishTicket() }},
		{Name: "ticket read", Reach: publishAndWait((*Fleet).sourceRead)},
		{Name: "ticket checked", SkipReason: "evaluation is a pure function that takes no time between read and swapped"},
		{Name: "ticket swapped", Reach: publishAndWait(func(f *Fleet) bool { return f.countNodesAtLatest() >= 1 })},
		{Name: "ticket passed on", Reach: publishAndWait(func(f *Fleet) bool { return f.countNodesAtLatest() >= hostCount/2 })},
		{Name: "ticket reported", Reach: func(ctx context.Context, f *Fleet) error {
			reach := publishAndWait(func(f *Fleet) bool { return f.countNodesAtLatest() == hostCount })
			if err := reach(ctx, f); err != nil {
				return err
			}
			time.Sleep(reportDelay)
			return nil
		}},
	}
}

func callSteps() []Step {
	return []Step{
		{Name: "call accepted", Reach: startCall(Notice, acceptDelay)},
		{Name: "call picked", SkipReason: "picking takes no time between accepted and sent to guard"},
		{Name: "call sent to guard", Reach: startCall(Notice, sendDelay)},
		{Name: "call queued", Reach: func(ctx context.Context, f *Fleet) error {
			f.fillSlots()
			return startCall(Notice, queueDelay)(ctx, f)
		}},
		{Name: "call sent to backend server", Reach: func(ctx context.Context, f *Fleet) error {
			key := f.startNotice()
			return f.waitFor(ctx, func(f *Fleet) bool { return f.History.hasRun(key) })
		}},
		{Name: "call answering", Reach: func(ctx context.Context, f *Fleet) error {
			if err := startCall(Browse, 0)(ctx, f); err != nil {
				return err
			}
			return startCall(Drawing, answerDelay)(ctx, f)
		}},
		{Name: "call answered", Reach: func(_ context.Context, f *Fleet) error {
			f.Call(Notice, 0)
			return nil
		}},
		{Name: "call recorded", Reach: func(_ context.Context, f *Fleet) error {
			key := newIdempotencyKey(Notice)
			if record := f.attempt(Notice, 0, key); record.Status != http.StatusOK {
				return errors.Newf("call whose record is to be tested got status %d", record.Status)
			}
			for entry := range hostCount {
				f.threads.Go(func() { f.attemptAfterDelay(Notice, entry, key) })
			}
			return nil
		}},
	}
}

// publishAndWait publishes a ticket and waits for a condition.
func publishAndWait(reached func(f *Fleet) bool) func(context.Context, *Fleet) error {
	return func(ctx context.Context, f *Fleet) error {
		f.sourceReads.Store(0)
		if err := f.PublishTicket(); err != nil {
			return err
		}
		return f.waitFor(ctx, reached)
	}
}

// startCall starts a call at every entry node and then waits.
func startCall(kind CallKind, wait time.Duration) func(context.Context, *Fleet) error {
	return func(_ context.Context, f *Fleet) error {
		for entry := range hostCount {
			f.threads.Go(func() { f.Call(kind, entry) })
		}
		time.Sleep(wait)
		return nil
	}
}

func (f *Fleet) waitFor(ctx context.Context, reached func(f *Fleet) bool) error {
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	for !reached(f) {
		if ctx.Err() != nil {
			return errors.New("step not reached in time")
		}
		time.Sleep(pollInterval)
	}
	return nil
}

func (f *Fleet) sourceRead() bool { return f.sourceReads.Load() > 0 }

func (f *Fleet) countNodesAtLatest() int {
	count := 0
	for i := range hostCount {
		if node, _ := f.node(i); node != nil && node.Version().Evaluated >= f.latestTicket {
			count++
		}
	}
	return count
}

// fillSlots occupies every slot of all backend servers with long calls.
func (f *Fleet) fillSlots() {
	long := Status
	long.ServiceTime = 300 * time.Millisecond
	long.Class = state.ClassHigh
	for i := range hostCount * slotsPerBackend {
		f.threads.Go(func() { f.attempt(long, i%hostCount, "") })
	}
	time.Sleep(queueDelay)
}

func (f *Fleet) startNotice() (key string) {
	key = newIdempotencyKey(Notice)
	f.threads.Go(func() {
		for attempt := range 1 + maxResends {
			record := f.attempt(Notice, attempt, key)
			if record.Status == http.StatusOK || !f.pause(resendDelay) {
				return
			}
		}
	})
	return key
}

// attemptAfterDelay resends a call that has already completed.
func (f *Fleet) attemptAfterDelay(kind CallKind, entry int, key string) {
	if f.pause(resendDelay) {
		f.attempt(kind, entry, key)
	}
}
