package drain

import (
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// Result is how a call of a caller ended at a leaving node.
type Result uint8

// The results.
const (
	// ResultAnswered means that the caller got the whole answer of a backend server.
	ResultAnswered Result = iota
	// ResultTooLate means that the node did not take the call, see Schedule.Admit.
	ResultTooLate
	// ResultWithdrawn means that the node has withdrawn the call while it waited for a
	// slot. It has not run.
	ResultWithdrawn
	// ResultBrokenOff means that the node ended the call at ReplyBy, or cut its answer at
	// End, before the call's own deadline. Its backend server may have had it.
	ResultBrokenOff
	// ResultExpired means that the deadline of the call itself passed, or could not be met.
	ResultExpired
	// ResultFailed means that the backend server or its guard failed or was lost.
	ResultFailed
	// ResultCut means that the answer was cut, but not by the end of the node.
	ResultCut
	// ResultCallerLeft means that the caller went away.
	ResultCallerLeft
	// ResultOther means that the call was refused for a reason that has nothing to do with
	// the node's leaving, such as a full queue.
	ResultOther
	resultCount
)

var resultNames = [resultCount]string{
	ResultAnswered:   "answered",
	ResultTooLate:    "refused",
	ResultWithdrawn:  "withdrawn",
	ResultBrokenOff:  "broken_off",
	ResultExpired:    "expired",
	ResultFailed:     "failed",
	ResultCut:        "cut",
	ResultCallerLeft: "caller_left",
	ResultOther:      "other",
}

// Results returns all results.
func Results() []Result {
	results := make([]Result, resultCount)
	for i := range results {
		results[i] = Result(i)
	}
	return results
}

// String returns the name of the result as used in metrics and log lines.
func (r Result) String() string {
	if r >= resultCount {
		return "invalid"
	}
	return resultNames[r]
}

// CallEnd describes the end of a call of a caller.
type CallEnd struct {
	At time.Time
	// Deadline is the deadline of the call itself, not limited by Schedule.Cap. It is zero
	// if the call ended before its deadline was known.
	Deadline time.Time
	// Attempted is set if the call was sent to a guard.
	Attempted bool
	// CallerLeft is set if the connection of the caller was closed.
	CallerLeft bool
	// Truncated is set if the answer was not written completely.
	Truncated bool
	// Reason is 0 if there was an answer. Outcome belongs to a reason.
	Reason  state.RefusalReason
	Outcome state.Outcome
}

// Classify returns the result of a call that ended while the node was leaving.
func (s Schedule) Classify(end CallEnd) Result {
	if s.brokeOff(end) {
		return ResultBrokenOff
	}
	switch end.Reason {
	case 0:
		if end.Truncated {
			return ResultCut
		}
		return ResultAnswered
	case state.RefusedDraining:
		if !end.Attempted {
			return ResultTooLate
		}
		return ResultOther
	case state.RefusedCanceled:
		return s.classifyCanceled(end)
	case state.RefusedDeadline:
		return ResultExpired
	case state.RefusedBackendServerFailed, state.RefusedUnreachable:
		return ResultFailed
	default:
		return ResultOther
	}
}

// brokeOff reports whether the node ended a call at ReplyBy, or cut its answer at End,
// that could have gone on.
func (s Schedule) brokeOff(end CallEnd) bool {
	if !s.Bounded() || !end.Deadline.After(s.ReplyBy) {
		return false
	}
	ended := end.Reason == state.RefusedCanceled || end.Reason == state.RefusedDeadline
	mayHaveRun := ended && end.Outcome == state.OutcomeMayHaveRun
	return (end.Truncated || mayHaveRun) && !end.At.Before(s.ReplyBy)
}

// GuardBrokeOff reports whether a leaving node has ended a refused call at its own guard:
// at ReplyBy, if it is a call of its own callers, whose deadlines are limited to End, or
// as the guard was shut down.
func (s Schedule) GuardBrokeOff(now, deadline time.Time, refusal *state.Refusal, shutDown bool) bool {
	ended := refusal.Reason == state.RefusedCanceled || refusal.Reason == state.RefusedDeadline
	if !ended || refusal.Outcome != state.OutcomeMayHaveRun {
		return false
	}
	return shutDown || s.Bounded() && deadline.Equal(s.End) && !now.Before(s.ReplyBy)
}

func (s Schedule) classifyCanceled(end CallEnd) Result {
	switch {
	case end.CallerLeft:
		return ResultCallerLeft
	case !end.Deadline.IsZero() && !end.At.Before(end.Deadline):
		return ResultExpired
	case s.Bounded() && !end.At.Before(s.WithdrawAt):
		return ResultWithdrawn
	default:
		return ResultCallerLeft
	}
}

// brokenOffDetail explains the refusal of a call with ResultBrokenOff.
const brokenOffDetail = "the node is leaving and broke the call off before its deadline"

// BrokenOff returns the refusal of a call that the node has broken off. Only its
// explanation differs.
func BrokenOff(refusal *state.Refusal) *state.Refusal {
	explained := *refusal
	explained.Detail = brokenOffDetail
	return &explained
}
