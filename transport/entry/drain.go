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
// canceled. Without a deadline, calls are not interrupted. The first call of Drain
// decides. Drain returns the record that counts the calls of callers from now on.
func (h *Handler) Drain(ctx context.Context) *drain.Record {
	now := time.Now()
	deadline, _ := ctx.Deadline()
	schedule := drain.NewSchedule(now, deadline)
	if h.calls.record.CompareAndSwap(nil, drain.NewRecord(now, schedule)) && schedule.Bounded() {
		time.AfterFunc(schedule.WithdrawAt.Sub(now), h.withdrawWaiting)
		time.AfterFunc(schedule.ReplyBy.Sub(now), h.cancelCalls)
	}
	return h.calls.record.Load()
}

// schedule returns the schedule of a leaving node. Before Drain it is the zero value,
// which interrupts nothing.
func (h *Handler) schedule() drain.Schedule {
	if record := h.calls.record.Load(); record != nil {
		return record.Schedule()
	}
	return drain.Schedule{}
}

// admit returns the refusal of a call that this node is too late to take, or nil.
func (h *Handler) admit(head call.Head) *state.Refusal {
	if refusal := h.schedule().Admit(time.Now(), head.Deadline); refusal != nil {
		return retry.RefusalWithoutRecord(head, refusal)
	}
	return nil
}

// capDeadline limits the deadline of a call to the end of this node, if it is
// leaving.
func (h *Handler) capDeadline(deadline time.Time) time.Time {
	return h.schedule().Cap(deadline)
}

// capBody limits the time by which a body must have arrived, if the node is leaving.
func (h *Handler) capBody(deadline time.Time) time.Time {
	return h.schedule().CapBody(deadline)
}

// closeAfterReply asks for the HTTP/1 connection to be closed after the
// response when the node is leaving, unless the following request has started: it is
// answered on the same connection.
func (h *Handler) closeAfterReply(w http.ResponseWriter, r *http.Request) {
	if h.isLeaving() && r.ProtoMajor == 1 && !isFollowed(r) {
		w.Header().Set("Connection", "close")
	}
}
