// Package call holds the typed values that describe one call on its way from
// the entry node to the guard node and back.
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

// Head is what a guard has to know of a call before its body.
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
	// SoftDeadline is the time by which the users want the answer: the arrival of the
	// client's first attempt plus the latency target of the route. The zero
	// time means that any time before Deadline will do.
	SoftDeadline time.Time
	Fingerprint  state.Fingerprint
	// Suspect says that an earlier attempt of the call was in flight when a
	// backend server crashed.
	Suspect bool
	// Arrivals is the number of earlier attempts that have reached a backend
	// server. MaxArrivals bounds them, this one included; 0 sets no bound.
	// Only the entry node uses them.
	Arrivals    int
	MaxArrivals int
	// IdempotencyKey is empty when the caller gave none.
	IdempotencyKey string
	// Idempotent says that running the call twice does no harm.
	Idempotent bool
	Method     string
	// Target is the path and query of the request.
	Target string
	// Authority is the host that the caller asked for.
	Authority string
	Fields    []Field
	// ContentLength is the length of the body in bytes, or -1 when the body
	// ends with an end marker.
	ContentLength int64
}

// ReplyHead is the answer of a backend server before its body.
type ReplyHead struct {
	ID     state.CallID
	Status int
	Fields []Field
	// ContentLength is the length of the body in bytes, or -1 when the body
	// ends with an end marker.
	ContentLength int64
	// ServiceTime is how long the backend server took, the wait for a slot not
	// included; 0 when it is not known.
	ServiceTime time.Duration
	Load        LoadHint
}

// LoadHint tells entry nodes how busy a backend server is. It guides a pick
// and never decides an admission.
type LoadHint struct {
	BackendServer state.BackendServerName
	// Running is the number of slots in use.
	Running int
	// Waiting is the number of calls in the queues.
	Waiting int
	// Slots is the number of slots that may be used at present.
	Slots int
	// Draining says that the backend server takes no new calls.
	Draining bool
}

// Request is what a front end reads of a caller's request, before its route is
// known.
type Request struct {
	// ID is empty when the caller gave none.
	ID     state.CallID
	Caller state.CallerName
	// Remaining is the time that the caller has left; 0 means that it did not
	// say.
	Remaining      time.Duration
	IdempotencyKey string
	Method         string
	// Host is lower case and without port, for finding the route.
	Host string
	// Path is what routes are matched with.
	Path string
	// Target is the path and query of the request.
	Target        string
	Authority     string
	Fields        []Field
	ContentLength int64
}

// ResponseAssessment says what an answer of a backend server means.
type ResponseAssessment struct {
	// Refusal is nil when the answer is for the caller.
	Refusal *state.Refusal
	// Shed says that the backend server had too much work.
	Shed bool
	// Replaced says that another backend server has the address.
	Replaced bool
	// DiscardConnection says that the connection must not be used again.
	DiscardConnection bool
}
