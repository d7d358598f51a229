package control

import (
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// Envelope is a message that the transport has to deliver.
type Envelope struct {
	To      state.HostName
	Message Message
}

// Output is what a decision asks the transport to do. Nothing in it may be
// changed by the receiver.
type Output struct {
	Messages []Envelope
	// Verdicts are the tickets that were judged, in order.
	Verdicts []state.Verdict
	// Events are to be logged, in order.
	Events []Event
}

func (o *Output) send(to state.HostName, message Message) {
	o.Messages = append(o.Messages, Envelope{To: to, Message: message})
}

func (o *Output) report(event Event) { o.Events = append(o.Events, event) }

// TicketsRead says when to read the tickets next and how.
type TicketsRead struct {
	// At is the time of the read. It can move earlier or later until then,
	// so that it has to be asked for again after every call to the plane.
	At time.Time
	// After is the number of the latest ticket that is known.
	After state.TicketNumber
	// Watch asks the source to hold the read until there is something newer.
	Watch bool
}

// HostListRead says when to read the host list next and how.
type HostListRead struct {
	// At is as in TicketsRead.
	At time.Time
	// After is the version of the host list that is known.
	After uint64
	// Watch asks the platform to hold the read until there is a newer one, but
	// no longer than to WatchUntil, unless that is zero.
	Watch      bool
	WatchUntil time.Time
}
