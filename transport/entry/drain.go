package entry

import (
	"context"
	"net/http"
	"time"
)

// replyMargin is reserved before the deadline of Drain for writing the last
// responses.
const replyMargin = 500 * time.Millisecond

// withdrawFraction is the fraction of the time limit after which a leaving node
// withdraws waiting calls. The rest is left for running calls.
const withdrawFraction = 0.5

// Drain makes every response from now on the last one of its HTTP/1 connection.
// Calls that still wait for a slot after half of the time until the deadline of
// ctx are withdrawn, and calls without a response shortly before the deadline
// are refused. Without a deadline, calls are not interrupted.
func (h *Handler) Drain(ctx context.Context) {
	var replyDeadline time.Time
	if deadline, bounded := ctx.Deadline(); bounded {
		replyDeadline = deadline.Add(-replyMargin)
	}
	if h.drainDeadline.Swap(&replyDeadline) == nil && !replyDeadline.IsZero() {
		remaining := time.Until(replyDeadline)
		time.AfterFunc(time.Duration(withdrawFraction*float64(remaining)), h.withdrawWaiting)
		time.AfterFunc(remaining, h.cancelCalls)
	}
}

// capDeadline limits the deadline of a new call to the drain deadline of this
// node, if it is leaving.
func (h *Handler) capDeadline(deadline time.Time) time.Time {
	limit := h.drainDeadline.Load()
	if limit != nil && !limit.IsZero() && limit.Before(deadline) {
		return *limit
	}
	return deadline
}

// closeAfterReply asks for the HTTP/1 connection to be closed after the
// response when the node is leaving.
func (h *Handler) closeAfterReply(w http.ResponseWriter, r *http.Request) {
	if h.drainDeadline.Load() != nil && r.ProtoMajor == 1 {
		w.Header().Set("Connection", "close")
	}
}
