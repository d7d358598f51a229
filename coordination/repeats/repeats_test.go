package repeats_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/coordination/repeats"
	"github.com/wasabiport/wasabiport/coordination/retry"
	"github.com/wasabiport/wasabiport/state"
)

var now = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// deadline is that of all runs and calls.
var deadline = now.Add(time.Second)

func run(server state.BackendServerName, share float64) repeats.Run {
	return repeats.Run{BackendServer: server, Deadline: deadline, RepeatShare: share}
}

func newTracker(capacity float64) (*repeats.Tracker, *retry.Budget) {
	budget := retry.NewBudget(retry.BudgetConfig{Share: 0.1, Capacity: capacity})
	return repeats.NewTracker(budget), budget
}

func TestCallIsAttributedToRunsInProgress(t *testing.T) {
	tracker, _ := newTracker(100)
	require.Zero(t, tracker.RecordCall(now, "vault", deadline), "nothing is running")
	endFirst := tracker.Begin(run("desk-0", 0))
	require.Zero(t, tracker.RecordCall(now, "vault", deadline))
	endRepeat := tracker.Begin(run("desk-0", 1))
	require.InDelta(t, 0.5, tracker.RecordCall(now, "vault", deadline), 1e-9)
	endOther := tracker.Begin(run("desk-1", 0))
	endNested := tracker.Begin(run("desk-1", 0.5))
	require.InDelta(t, 1.5/4, tracker.RecordCall(now, "vault", deadline), 1e-9, "all backend servers of the host count")
	endFirst()
	endOther()
	endNested()
	require.InDelta(t, 1, tracker.RecordCall(now, "vault", deadline), 1e-9)
	endRepeat()
	endRepeat()
	require.Zero(t, tracker.RecordCall(now, "vault", deadline), "a run ends only once")
	require.InDelta(t, 0.5+1.5/4+1, tracker.Charged()["vault"], 1e-9)
}

// A client's request often expires later than all runs on its host. It must not be
// charged, nor make the run that it causes a repeat.
func TestCallThatOutlivesARunIsNotAttributedToIt(t *testing.T) {
	tracker, _ := newTracker(100)
	defer tracker.Begin(run("desk-0", 1))()
	require.Zero(t, tracker.RecordCall(now, "vault", deadline.Add(time.Second)))
	require.Zero(t, tracker.RecordCall(now, "vault", time.Time{}), "no deadline is stated")
	require.InDelta(t, 1, tracker.RecordCall(now, "vault", deadline.Add(time.Millisecond)), 1e-9, "remaining times are rounded")
	require.InDelta(t, 1, tracker.RecordCall(now, "vault", deadline.Add(-time.Second/2)), 1e-9)
	defer tracker.Begin(repeats.Run{BackendServer: "desk-0", Deadline: deadline.Add(time.Hour)})()
	require.Zero(t, tracker.RecordCall(now, "vault", deadline.Add(time.Second)))
}

func TestCallOfRepeatIsChargedAndNotCredited(t *testing.T) {
	tracker, budget := newTracker(10)
	defer tracker.Begin(run("desk-0", 1))()
	for range 4 {
		tracker.RecordCall(now, "vault", deadline)
	}
	require.InDelta(t, 6, budget.Balance(now, "vault"), 1e-9)
	require.InDelta(t, 10, budget.Balance(now, "desk"), 1e-9, "each service has a separate budget")
}

// A run can't finish without its calls, so they overdraw the budget instead of
// being refused. Retries wait until the overdraft is paid or a window has passed.
func TestOverdraftEndsRetriesForAWindow(t *testing.T) {
	tracker, budget := newTracker(2)
	end := tracker.Begin(run("desk-0", 1))
	for range 10 {
		tracker.RecordCall(now, "vault", deadline)
	}
	end()
	require.InDelta(t, -2, budget.Balance(now, "vault"), 1e-9, "an overdraft is at most one capacity")
	require.False(t, budget.TryWithdraw("vault"))
	require.InDelta(t, -2, budget.Balance(now.Add(retry.DefaultWindow-1), "vault"), 1e-9)
	require.Zero(t, budget.Balance(now.Add(retry.DefaultWindow), "vault"))
}

// runOnce lets a backend server run a call that makes the given number of calls.
func runOnce(tracker *repeats.Tracker, server state.BackendServerName, share float64, calls int) {
	defer tracker.Begin(run(server, share))()
	for range calls {
		tracker.RecordCall(now, "vault", deadline)
	}
}

func TestRepeatIsAdmittedIfBudgetCoversItsCalls(t *testing.T) {
	tracker, budget := newTracker(20)
	require.Nil(t, tracker.Admit(now, "desk-0"), "the calls of a run are not known yet")
	for range 10 {
		runOnce(tracker, "desk-0", 0, 3)
	}
	admitted := 0
	for tracker.Admit(now, "desk-0") == nil {
		runOnce(tracker, "desk-0", 1, 3)
		admitted++
	}
	require.Equal(t, 7, admitted, "20 calls and an overdraft of one")
	refusal := tracker.Admit(now, "desk-0")
	require.Equal(t, state.RefusedRetryBudget, refusal.Reason)
	require.Equal(t, state.OutcomeNotRun, refusal.Outcome)
	require.False(t, refusal.ReachedBackendServer)
	require.Nil(t, tracker.Admit(now, "desk-1"), "another backend server makes no such calls")
	require.GreaterOrEqual(t, budget.Balance(now, "vault"), -1.0)
}

func TestRepeatsInProgressReserveTheirCalls(t *testing.T) {
	tracker, _ := newTracker(20)
	for range 10 {
		runOnce(tracker, "desk-0", 0, 3)
	}
	started := 0
	for tracker.Admit(now, "desk-0") == nil {
		defer tracker.Begin(run("desk-0", 1))()
		started++
	}
	require.Equal(t, 7, started, "20 calls and an overdraft of one")
}

// A service that is rarely called must not end the retries of its callers when its
// budget is empty.
func TestRareCallsDoNotBlockRepeats(t *testing.T) {
	budget := retry.NewBudget(retry.BudgetConfig{Share: 0.1, Capacity: 58, Nodes: func() int { return 9 }})
	tracker := repeats.NewTracker(budget)
	for range 20 {
		runOnce(tracker, "desk-0", 0, 0)
	}
	runOnce(tracker, "desk-0", 0, 1)
	require.Less(t, budget.Balance(now, "vault"), 1.0)
	require.Nil(t, tracker.Admit(now, "desk-0"))
}
