package entry

import (
	"net"
	"net/http"
	"time"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/protocol/httpmap"
	"github.com/wasabiport/wasabiport/state"
)

// defaultTimeout bounds a call when its route sets no timeout.
const defaultTimeout = 30 * time.Second

func newHead(
	now time.Time,
	id state.CallID,
	ticket state.TicketNumber,
	route state.Route,
	r *http.Request,
) call.Head {
	head := call.Head{
		ID:             id,
		Ticket:         ticket,
		Route:          route.Name,
		Class:          route.Class,
		Caller:         callerOf(r),
		Deadline:       now.Add(timeoutOf(route, r)),
		IdempotencyKey: r.Header.Get(httpmap.HeaderIdempotencyKey),
		Idempotent:     route.Idempotent,
		Method:         r.Method,
		Target:         r.URL.RequestURI(),
		Authority:      r.Host,
		Fields:         httpmap.RequestFields(r.Header),
		ContentLength:  r.ContentLength,
	}
	if route.LatencyTarget > 0 {
		head.Wanted = now.Add(route.LatencyTarget)
	}
	return head
}

// timeoutOf returns the timeout of the route, or what an earlier call has left
// of its own when that is less.
func timeoutOf(route state.Route, r *http.Request) time.Duration {
	timeout := route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if remaining, ok := httpmap.ParseTimeout(r.Header); ok {
		return min(timeout, remaining)
	}
	return timeout
}

// callerOf returns the caller that the request names, or else its IP address.
func callerOf(r *http.Request) state.CallerName {
	if name := r.Header.Get(httpmap.HeaderCaller); name != "" {
		return state.CallerName(name)
	}
	if address, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		return state.CallerName(address)
	}
	return state.CallerName(r.RemoteAddr)
}
