package guard_test

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/coordination/retry"
	"github.com/wasabiport/wasabiport/internal/virtualtime"
	"github.com/wasabiport/wasabiport/state"
)

// runFirstAttempt runs the first attempt of a call, which belongs to a repeat with the
// probability share.
func (f *fixture) runFirstAttempt(share float64, id state.CallID) *state.Refusal {
	return f.runAttempt(call.Head{ID: id, RepeatShare: share})
}

// runRepeat runs a call that has reached a backend server before.
func (f *fixture) runRepeat(id state.CallID) *state.Refusal {
	return f.runAttempt(call.Head{ID: id, RepeatShare: 1, ReachedAttempts: 1})
}

func (f *fixture) runAttempt(attempt call.Head) *state.Refusal {
	head := newHead("GET", "")
	head.ID, head.Idempotent = attempt.ID, true
	head.RepeatShare, head.ReachedAttempts = attempt.RepeatShare, attempt.ReachedAttempts
	reply, refusal := f.doHead(f.t.Context(), head, nil)
	if refusal == nil {
		f.finish(reply, nil)
	}
	return refusal
}

// Guards against repeats that cause calls beyond the retry budget of the called service.
func TestRepeatWhoseCallsAreNotCoveredIsNotRun(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFixture(t, 2)
		defer f.guard.Shutdown()
		runs := 0
		f.serve(func(conn net.Conn) {
			defer func() { _ = conn.Close() }()
			buffer := make([]byte, 1<<10)
			if _, err := conn.Read(buffer); err != nil {
				return
			}
			runs++
			for range 10 {
				f.repeats.RecordCall(time.Now(), "vault", time.Now().Add(time.Second/2))
			}
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"))
		})
		require.Nil(t, f.runFirstAttempt(0, "first"))
		require.Zero(t, f.repeats.Charged()["vault"])
		for f.budget.Balance(time.Now(), "vault") >= 9 {
			require.Nil(t, f.runRepeat("repeat"))
		}
		require.InDelta(t, 10*float64(runs-1), f.repeats.Charged()["vault"], 1e-9)
		refusal := f.runRepeat("not-covered")
		require.NotNil(t, refusal)
		require.Equal(t, state.RefusedRetryBudget, refusal.Reason)
		require.Equal(t, state.OutcomeNotRun, refusal.Outcome)
		require.Nil(t, f.runFirstAttempt(1, "call-of-repeat"), "a run can't finish without its calls")
		require.Zero(t, f.repeats.RecordCall(time.Now(), "vault", time.Now()), "no run is in progress")
		require.Less(t, f.budget.Balance(time.Now(), "vault"), float64(retry.DefaultCapacity))
	})
}
