package entry

import (
	"time"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/coordination/clientretry"
	"github.com/wasabiport/wasabiport/state"
)

// defaultTimeout applies to calls of routes that set no timeout.
const defaultTimeout = 30 * time.Second

func newHead(
	now time.Time,
	id state.CallID,
	ticket state.TicketNumber,
	route state.Route,
	service state.ServiceName,
	request call.Request,
) call.Head {
	head := call.Head{
		ID:                 id,
		Ticket:             ticket,
		Route:              route.Name,
		Service:            service,
		Class:              route.Class,
		Caller:             request.Caller,
		Deadline:           now.Add(effectiveTimeout(route, request)),
		IdempotencyKey:     request.IdempotencyKey,
		Idempotent:         route.Idempotent,
		MaxReachedAttempts: route.MaxAttempts,
		Method:             request.Method,
		Target:             request.Target,
		Authority:          request.Authority,
		Fields:             request.Fields,
		ContentLength:      request.ContentLength,
	}
	if route.LatencyTarget > 0 {
		head.SoftDeadline = now.Add(route.LatencyTarget)
	}
	return head
}

// applyClientRetry looks up whether the request is a client retry. If so, it
// computes the soft deadline from the arrival of the first attempt.
func (h *Handler) applyClientRetry(head *call.Head, request call.Request) clientretry.Attempt {
	now := time.Now()
	attempt := h.policies.ClientRetries.Begin(now, head.Fingerprint, now.Add(request.Remaining))
	if !head.SoftDeadline.IsZero() {
		head.SoftDeadline = head.SoftDeadline.Add(attempt.FirstArrival.Sub(now))
	}
	return attempt
}

// recordCall credits or charges the retry budget for a call, and returns the
// probability that the call belongs to a repeat.
func (h *Handler) recordCall(arrivedAt time.Time, service state.ServiceName, request call.Request) float64 {
	var deadline time.Time
	if request.Remaining > 0 {
		deadline = arrivedAt.Add(request.Remaining)
	}
	return h.policies.Repeats.RecordCall(time.Now(), service, deadline)
}

// effectiveTimeout returns the timeout of the route, or the remaining time of
// the caller if that is shorter.
func effectiveTimeout(route state.Route, request call.Request) time.Duration {
	timeout := route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if request.Remaining > 0 {
		return min(timeout, request.Remaining)
	}
	return timeout
}
