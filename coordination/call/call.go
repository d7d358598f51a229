// Package call defines the types that describe a call on its way from the entry
// node to the guard and back.
package call

import (
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// Field is one header field. Fields keep their order and may repeat.
type Field struct {
	Name  string
	Value string
}

// Head is the part of a call that a guard needs before the body.
type Head struct {
	ID state.CallID
	// Ticket is the number of the latest accepted ticket at the entry node.
	Ticket        state.TicketNumber
	Route         state.RouteName
	Service       state.ServiceName
	BackendServer state.BackendServerName
	Class         state.PriorityClass
	Caller        state.CallerName
	// Deadline is the time at which the caller gives up. It is always set.
	Deadline time.Time
	// SoftDeadline is the time by which users expect the answer: the arrival of
	// the first attempt of the client plus the latency target of the route. The
	// zero time means that any time before Deadline is acceptable.
	SoftDeadline time.Time
	Fingerprint  state.Fingerprint
	// Suspect is set when an earlier attempt of the call was in flight when a
	// backend server crashed.
	Suspect bool
	// RateLimit is the limit of the backend server that the entry node knows.
	RateLimit RateLimit
	// ReachedAttempts is the number of earlier attempts that reached a backend server.
	ReachedAttempts int
	// MaxReachedAttempts is the maximum number of such attempts, including this one; 0
	// means no limit. It is used by the entry node only.
	MaxReachedAttempts int
	// MayPassOn is set when the entry node sends the call to another guard if this one
	// has no free slot. The guard then refuses it instead of letting it wait.
	MayPassOn bool
	// RepeatShare is the probability that the attempt is a repeat, from 0 to 1. It is 1
	// after an attempt that reached a backend server. Before that, it is the probability
	// that a repeated run makes the call.
	RepeatShare float64
	// IdempotencyKey is empty when the caller sent none.
	IdempotencyKey string
	// Local is set by the guard when the call comes from the entry node of its own
	// host, so that the answer does not use the link of the host. It is not sent.
	Local bool
	// Idempotent is set when the call can safely run more than once.
	Idempotent bool
	Method     string
	// Target is the path and query of the request.
	Target string
	// Authority is the host that the caller requested.
	Authority string
	Fields    []Field
	// ContentLength is the length of the body in bytes, or -1 when the body is
	// terminated by an end marker.
	ContentLength int64
}

// ReplyHead is the part of the response of a backend server before its body.
type ReplyHead struct {
	ID     state.CallID
	Status int
	Fields []Field
	// ContentLength is the length of the body in bytes, or -1 when the body is
	// terminated by an end marker.
	ContentLength int64
	// ServiceTime is how long the backend server took, excluding the wait for a
	// slot; 0 when it is unknown.
	ServiceTime time.Duration
	Load        LoadHint
}

// LoadHint reports the load of a backend server to entry nodes. It influences
// which backend server is picked, but never whether a call is admitted.
type LoadHint struct {
	BackendServer state.BackendServerName
	// Running is the number of slots in use.
	Running int
	// Waiting is the number of queued calls.
	Waiting int
	// Slots is the number of slots that may be used.
	Slots int
	// Draining is set when the backend server takes no new calls.
	Draining bool
	// Incarnation is the incarnation of the backend server that the hint is about.
	Incarnation int64
	// RateLimit is the limit that is in force at the guard. Without Reported, the
	// backend server has not answered the guard yet, and no limit means that none is
	// known.
	RateLimit RateLimit
	Reported  bool
	// Leaving is set when the backend server has reported that it is about to exit.
	Leaving bool
	Link    LinkLoad
}

// longAnswerTime is the transmission time from which an answer counts as long. A call
// with a smaller answer is not delayed noticeably by another one.
const longAnswerTime = 5 * time.Millisecond

// LinkLoad is the load of the network link of a guard's host. The zero value means
// that the link is not limited.
type LinkLoad struct {
	// BytesPerSecond is the planned rate of answers.
	BytesPerSecond float64
	// LongSlots is the number of slots that calls with long answers can keep in use.
	LongSlots float64
	// LongCalls is the number of running and waiting calls with long answers.
	LongCalls int
}

// IsLong reports whether an answer occupies the link for long.
func (l LinkLoad) IsLong(bytes float64) bool {
	return l.BytesPerSecond > 0 && bytes >= l.BytesPerSecond*longAnswerTime.Seconds()
}

// Request is the request of a caller as read by a front end, before its route
// is known.
type Request struct {
	// ID is empty when the caller sent none.
	ID     state.CallID
	Caller state.CallerName
	// Remaining is the time that the caller has left, or 0 when the caller sent
	// no timeout.
	Remaining      time.Duration
	IdempotencyKey string
	Method         string
	// Host is in lower case and without port. It is used to find the route.
	Host string
	// Path is the path that routes are matched against.
	Path string
	// Target is the path and query of the request.
	Target        string
	Authority     string
	Fields        []Field
	ContentLength int64
}

// ResponseAssessment is the classification of a response of a backend server.
type ResponseAssessment struct {
	// Refusal is nil when the response is returned to the caller.
	Refusal *state.Refusal
	// Shed is set when the backend server declined the call because it was
	// overloaded.
	Shed bool
	// Replaced is set when another backend server now has the address.
	Replaced bool
	// DiscardConnection is set when the connection must not be reused.
	DiscardConnection bool
	// Report is nil when the response says nothing of the backend server itself.
	Report *ServerReport
}

// RateLimit is the number of calls per second that a backend server takes from all
// nodes together. The zero value sets no limit.
type RateLimit struct {
	Limited   bool
	PerSecond float64
}

// ServerHealth is what a backend server says in its response to a health check.
type ServerHealth struct {
	// Cold is the time until the backend server is warm, or 0 if it is warm.
	Cold time.Duration
}

// ServerReport is what a backend server says of itself in a response, besides its
// response to the call.
type ServerReport struct {
	// RateLimit holds until the next response.
	RateLimit RateLimit
	// Leaving is set when the backend server is about to exit.
	Leaving bool
}
