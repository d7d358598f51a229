// Package drain decides which calls a leaving node still takes, and by when it ends
// them.
package drain

import (
	"time"

	"github.com/wasabiport/wasabiport/state"
)

const (
	// replyMargin is reserved before the end of the node for writing the last
	// responses.
	replyMargin = 500 * time.Millisecond
	// withdrawFraction is the fraction of the time until ReplyBy after which waiting
	// calls are withdrawn. The rest is left for running calls.
	withdrawFraction = 0.5
	// maxDelayFraction is the largest fraction of the time until ReplyBy for which the
	// guard still takes calls. The rest is left for finishing them.
	maxDelayFraction = 2.0 / 3
	// retryAfter is the retry delay sent with calls that a leaving node withdraws or
	// does not take. By then the caller has switched to another node, or this node
	// has restarted.
	retryAfter = time.Second
)

// Schedule holds the times at which a leaving node stops its work.
type Schedule struct {
	// WithdrawAt is the time at which calls that wait for a slot are withdrawn. From
	// then on the node takes no call that could be running at ReplyBy.
	WithdrawAt time.Time
	// ReplyBy is the time at which calls without an answer are canceled. The zero time
	// means that no call is canceled.
	ReplyBy time.Time
	// End is the time at which the node has ended. Until then it delivers answers that
	// have begun.
	End time.Time
}

// NewSchedule returns the schedule of a node that begins to leave now and has ended
// at a deadline. Without a deadline, which is the zero time, no call is interrupted.
func NewSchedule(now, deadline time.Time) Schedule {
	if deadline.IsZero() {
		return Schedule{}
	}
	replyBy := deadline.Add(-replyMargin)
	waiting := time.Duration(withdrawFraction * float64(replyBy.Sub(now)))
	return Schedule{WithdrawAt: now.Add(waiting), ReplyBy: replyBy, End: deadline}
}

// Bounded reports whether calls are interrupted.
func (s Schedule) Bounded() bool { return !s.ReplyBy.IsZero() }

// Admit returns nil if the node takes a call with a deadline. Otherwise it returns the
// refusal: the call could still be running when the node ends, and would be broken
// off then. Early in the drain such calls are taken, as most of them end in time.
func (s Schedule) Admit(now, deadline time.Time) *state.Refusal {
	if !s.Bounded() || now.Before(s.WithdrawAt) || !deadline.After(s.ReplyBy) {
		return nil
	}
	refusal := state.NotRun(state.RefusedDraining, "the node is leaving and may end before the call does")
	refusal.RetryAfter = retryAfter
	return refusal
}

// AdmitPeerCall returns nil if the guard of the node takes a call of another node.
// Otherwise it returns the refusal: the call can't be repeated and could still be
// running when the node ends. Its entry node can send it to another guard, so the
// refusal has the reason deadline and not draining, after which the entry node would
// send no other call here either.
func (s Schedule) AdmitPeerCall(deadline time.Time, idempotent bool) *state.Refusal {
	if !s.Bounded() || idempotent || !deadline.After(s.ReplyBy) {
		return nil
	}
	return state.NotRun(state.RefusedDeadline, "the node of the backend server is leaving and may end before the call does")
}

// Cap limits the deadline of a call to End.
func (s Schedule) Cap(deadline time.Time) time.Time {
	if s.Bounded() && s.End.Before(deadline) {
		return s.End
	}
	return deadline
}

// CapBody limits the time by which the body of a call must have arrived to ReplyBy.
func (s Schedule) CapBody(deadline time.Time) time.Time {
	if s.Bounded() && s.ReplyBy.Before(deadline) {
		return s.ReplyBy
	}
	return deadline
}

// Withdrawn returns the refusal of a call that the node has withdrawn, with the time
// after which the caller may retry it.
func Withdrawn(refusal *state.Refusal) *state.Refusal {
	delayed := *refusal
	delayed.RetryAfter = retryAfter
	return &delayed
}
