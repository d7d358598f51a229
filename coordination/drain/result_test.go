package drain_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/coordination/drain"
	"github.com/wasabiport/wasabiport/state"
)

func TestClassifyTellsCausesApart(t *testing.T) {
	const run, notRun = state.OutcomeMayHaveRun, state.OutcomeNotRun
	schedule := drain.NewSchedule(began, after(6.5))
	tests := map[string]struct {
		end  drain.CallEnd
		want drain.Result
	}{
		"answered":  {drain.CallEnd{At: after(5), Deadline: after(8), Attempted: true}, drain.ResultAnswered},
		"not taken": {drain.CallEnd{At: after(4), Deadline: after(8), Reason: state.RefusedDraining, Outcome: notRun}, drain.ResultTooLate},
		"all backend servers drain": {
			drain.CallEnd{At: after(4), Deadline: after(8), Attempted: true, Reason: state.RefusedDraining, Outcome: notRun},
			drain.ResultOther,
		},
		"withdrawn": {
			drain.CallEnd{At: after(3), Deadline: after(8), Attempted: true, Reason: state.RefusedCanceled, Outcome: notRun},
			drain.ResultWithdrawn,
		},
		"broken off, the guard's refusal came": {
			drain.CallEnd{At: after(6), Deadline: after(8), Attempted: true, Reason: state.RefusedDeadline, Outcome: run},
			drain.ResultBrokenOff,
		},
		"broken off, a guard with a fast clock": {
			drain.CallEnd{At: after(6.45), Deadline: after(8), Attempted: true, Reason: state.RefusedDeadline, Outcome: run},
			drain.ResultBrokenOff,
		},
		"broken off by the entry node": {
			drain.CallEnd{At: after(6), Deadline: after(8), Attempted: true, Reason: state.RefusedCanceled, Outcome: run},
			drain.ResultBrokenOff,
		},
		"answer broken off": {drain.CallEnd{At: after(6), Deadline: after(8), Attempted: true, Truncated: true}, drain.ResultBrokenOff},
		"answer cut before": {drain.CallEnd{At: after(5), Deadline: after(8), Attempted: true, Truncated: true}, drain.ResultCut},
		"own deadline": {
			drain.CallEnd{At: after(5), Deadline: after(5), Attempted: true, Reason: state.RefusedDeadline, Outcome: run},
			drain.ResultExpired,
		},
		"own deadline just before the last reply": {
			drain.CallEnd{At: after(6), Deadline: after(5.99), Attempted: true, Reason: state.RefusedCanceled, Outcome: run},
			drain.ResultExpired,
		},
		"deadline that can't be met": {
			drain.CallEnd{At: after(1), Deadline: after(8), Attempted: true, Reason: state.RefusedDeadline, Outcome: notRun},
			drain.ResultExpired,
		},
		"caller gone before the last reply": {
			drain.CallEnd{At: after(5.99), Deadline: after(8), Attempted: true, CallerLeft: true, Reason: state.RefusedCanceled, Outcome: run},
			drain.ResultCallerLeft,
		},
		"backend server failed": {
			drain.CallEnd{At: after(6.1), Deadline: after(8), Attempted: true, Reason: state.RefusedBackendServerFailed, Outcome: run},
			drain.ResultFailed,
		},
		"no route": {drain.CallEnd{At: after(1), Reason: state.RefusedNoRoute, Outcome: notRun}, drain.ResultOther},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, test.want, schedule.Classify(test.end)) })
	}
}

func TestNoCallIsBrokenOffWithoutDeadlineOfTheNode(t *testing.T) {
	end := drain.CallEnd{At: after(90), Deadline: after(90), Reason: state.RefusedDeadline, Outcome: state.OutcomeMayHaveRun}
	require.Equal(t, drain.ResultExpired, drain.NewSchedule(began, time.Time{}).Classify(end))
}

func TestBrokenOffChangesOnlyTheExplanation(t *testing.T) {
	refusal := state.MayHaveRun(state.RefusedDeadline, "the deadline passed")
	refusal.RetryAfter = time.Second
	explained := drain.BrokenOff(refusal)
	require.NotEqual(t, refusal.Detail, explained.Detail)
	explained.Detail = refusal.Detail
	require.Equal(t, refusal, explained)
}

func TestGuardBreaksOffOnlyAtTheLastReplyAndAtTheEnd(t *testing.T) {
	schedule := drain.NewSchedule(began, after(6.5))
	expired := state.MayHaveRun(state.RefusedDeadline, "")
	waited := state.NotRun(state.RefusedDeadline, "")
	failed := state.MayHaveRun(state.RefusedBackendServerFailed, "")
	require.True(t, schedule.GuardBrokeOff(after(6), after(6.5), expired, false))
	require.False(t, schedule.GuardBrokeOff(after(6), after(5.9), expired, false))
	require.False(t, schedule.GuardBrokeOff(after(5), after(6.5), state.MayHaveRun(state.RefusedCanceled, ""), false))
	require.False(t, schedule.GuardBrokeOff(after(6), after(6.5), waited, false))
	require.True(t, schedule.GuardBrokeOff(after(6.5), after(9), expired, true))
	require.False(t, schedule.GuardBrokeOff(after(6.5), after(9), failed, true))
}

// Guards against calls that are missing from the sums: what ran and what arrived is what
// ended and what still runs.
func TestRecordAccountsForEachCall(t *testing.T) {
	record := drain.NewRecord(began, drain.NewSchedule(began, after(6.5)))
	for range 3 {
		record.Arrive()
	}
	record.Take(after(2))
	record.Take(after(1))
	record.End(drain.CallEnd{At: after(3)})
	record.End(drain.CallEnd{At: after(4), Deadline: after(8), Reason: state.RefusedDraining})
	counts := record.Counts(3)
	require.EqualValues(t, 2, counts.Before)
	require.EqualValues(t, 3, counts.Arrived)
	require.EqualValues(t, 2, counts.Taken)
	require.Equal(t, 2*time.Second, counts.LastTaken)
	require.EqualValues(t, 1, counts.Results[drain.ResultAnswered])
	require.EqualValues(t, 1, counts.Results[drain.ResultTooLate])
	require.EqualValues(t, 3, counts.Running)
}

func TestPeerCallsCountFromTheBeginningOfLeaving(t *testing.T) {
	var calls drain.PeerCalls
	calls.Begin(after(-1))
	calls.Leave(began)
	calls.Begin(after(1))
	calls.Begin(after(2))
	calls.End()
	calls.Drain()
	calls.End()
	require.Equal(t, drain.PeerCounts{Taken: 2, LastTaken: 2 * time.Second, AtDrain: 2, Running: 1}, calls.Counts())
}

func TestLeaveDelayLeavesTimeToFinishCalls(t *testing.T) {
	record := drain.NewRecord(began, drain.NewSchedule(began, after(6.5)))
	require.Equal(t, 2*time.Second, record.LeaveDelay(2*time.Second))
	require.Equal(t, 4*time.Second, record.LeaveDelay(5*time.Second))
	require.Zero(t, drain.NewRecord(began, drain.NewSchedule(began, after(0.1))).LeaveDelay(time.Second))
	require.Equal(t, time.Minute, drain.NewRecord(began, drain.NewSchedule(began, time.Time{})).LeaveDelay(time.Minute))
}
