package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/coordination/drain"
	"github.com/wasabiport/wasabiport/coordination/retry"
	"github.com/wasabiport/wasabiport/state"
)

// Drain makes every response from now on the last one of its HTTP/1 connection.
// Calls that still wait for a slot after half of the time until the deadline of
// ctx are withdrawn, and new ones that could still be running at the end are
// refused from then on. Calls without a response shortly before the deadline are
// canceled. Without a deadline, calls are not interrupted. Drain returns the record that
// counts the calls of callers from now on.
func (h *Handler) Drain(ctx context.Context) *drain.Record {
	now := time.Now()
	deadline, _ := ctx.Deadline()
	schedule := drain.NewSchedule(now, deadline)
	h.calls.record.CompareAndSwap(nil, drain.NewRecord(now, schedule))
	if h.draining.Swap(&schedule) == nil && schedule.Bounded() {
		time.AfterFunc(schedule.WithdrawAt.Sub(now), h.withdrawWaiting)
		time.AfterFunc(schedule.ReplyBy.Sub(now), h.cancelCalls)
	}
	return h.calls.record.Load()
}

// admit returns the refusal of a call that this node is too late to take, or nil.
// ownDeadline is the deadline of the call, which may lie after the end of this node.
func (h *Handler) admit(head call.Head, ownDeadline time.Time) *state.Refusal {
	schedule := h.draining.Load()
	if schedule == nil {
		return nil
	}
	if refusal := schedule.Admit(time.Now(), ownDeadline); refusal != nil {
		return retry.RefusalWithoutRecord(head, refusal)
	}
	return nil
}

// capDeadline limits the deadline of a call to the end of this node, if it is
// leaving.
func (h *Handler) capDeadline(deadline time.Time) time.Time {
	if schedule := h.draining.Load(); schedule != nil {
		return schedule.Cap(deadline)
	}
	return deadline
}

// closeAfterReply asks for the HTTP/1 connection to be closed after the
// response when the node is leaving.
func (h *Handler) closeAfterReply(w http.ResponseWriter, r *http.Request) {
	if h.draining.Load() != nil && r.ProtoMajor == 1 {
		w.Header().Set("Connection", "close")
	}
}
