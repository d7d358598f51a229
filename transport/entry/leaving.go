package entry

import (
	"context"
	"net/http"
	"time"
)

// answerMargin is the time that a leaving node has to write its last answers.
const answerMargin = 500 * time.Millisecond

// withdrawShare is the share of its time after which a leaving node withdraws
// the calls that wait: those that run need the rest.
const withdrawShare = 0.5

// Drain makes every answer from now on the last one of its connection. Calls
// that still wait for a slot when half of the time to the deadline of ctx is
// over are withdrawn, and those that have no answer shortly before it are
// refused; without a deadline they go on.
func (h *Handler) Drain(ctx context.Context) {
	var by time.Time
	if deadline, bounded := ctx.Deadline(); bounded {
		by = deadline.Add(-answerMargin)
	}
	if h.leaveBy.Swap(&by) == nil && !by.IsZero() {
		left := time.Until(by)
		time.AfterFunc(time.Duration(withdrawShare*float64(left)), h.withdraw)
		time.AfterFunc(left, h.end)
	}
}

// bounded returns the deadline of a call that has come to a node which may be
// leaving.
func (h *Handler) bounded(deadline time.Time) time.Time {
	by := h.leaveBy.Load()
	if by != nil && !by.IsZero() && by.Before(deadline) {
		return *by
	}
	return deadline
}

// endConnection makes the answer the last of its connection when the node is
// leaving.
func (h *Handler) endConnection(w http.ResponseWriter, r *http.Request) {
	if h.leaveBy.Load() != nil && r.ProtoMajor == 1 {
		w.Header().Set("Connection", "close")
	}
}
