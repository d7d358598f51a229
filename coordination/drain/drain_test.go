package drain_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/coordination/drain"
	"github.com/wasabiport/wasabiport/state"
)

var began = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

func after(seconds float64) time.Time {
	return began.Add(time.Duration(seconds * float64(time.Second)))
}

func TestAdmitRefusesCallsThatWouldBeBrokenOff(t *testing.T) {
	schedule := drain.NewSchedule(began, after(6.5))
	require.Equal(t, drain.Schedule{WithdrawAt: after(3), ReplyBy: after(6), End: after(6.5)}, schedule)
	tests := map[string]struct {
		arrival, deadline float64
		admitted          bool
	}{
		"early, may be running at the end":      {arrival: 2.9, deadline: 8, admitted: true},
		"late, ends by its own deadline before": {arrival: 3.5, deadline: 6, admitted: true},
		"late, may be running at the end":       {arrival: 3, deadline: 6.1},
		"after the last reply":                  {arrival: 6.2, deadline: 7},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			refusal := schedule.Admit(after(test.arrival), after(test.deadline))
			require.Equal(t, test.admitted, refusal == nil)
			if refusal != nil {
				require.Equal(t, state.OutcomeNotRun, refusal.Outcome)
				require.Positive(t, refusal.RetryAfter)
			}
		})
	}
}

func TestAdmitPeerCallRefusesWhatCannotBeRepeatedAndMayOutliveTheNode(t *testing.T) {
	schedule := drain.NewSchedule(began, after(6.5))
	require.Nil(t, schedule.AdmitPeerCall(after(6), false))
	require.Nil(t, schedule.AdmitPeerCall(after(9), true))
	require.Nil(t, drain.NewSchedule(began, time.Time{}).AdmitPeerCall(after(9), false))
	refusal := schedule.AdmitPeerCall(after(6.1), false)
	require.Equal(t, state.OutcomeNotRun, refusal.Outcome)
	require.False(t, refusal.ReachedBackendServer)
}

func TestCapLimitsDeadlinesToTheEnd(t *testing.T) {
	schedule := drain.NewSchedule(began, after(6.5))
	require.Equal(t, after(6.5), schedule.Cap(after(8)))
	require.Equal(t, after(5), schedule.Cap(after(5)))
}

func TestCapBodyLimitsBodiesToTheLastReply(t *testing.T) {
	schedule := drain.NewSchedule(began, after(6.5))
	require.Equal(t, after(6), schedule.CapBody(after(8)))
	require.Equal(t, after(5), schedule.CapBody(after(5)))
	require.Equal(t, after(8), drain.NewSchedule(began, time.Time{}).CapBody(after(8)))
}

func TestNothingIsInterruptedWithoutDeadline(t *testing.T) {
	schedule := drain.NewSchedule(began, time.Time{})
	require.False(t, schedule.Bounded())
	require.Nil(t, schedule.Admit(after(100), after(200)))
	require.Equal(t, after(200), schedule.Cap(after(200)))
}
