package control

import (
	"time"

	"github.com/wasabiport/wasabiport/coordination/sourcereading"
	"github.com/wasabiport/wasabiport/state"
)

// Envelope is a message that the transport has to deliver to a host.
type Envelope struct {
	To      state.HostName
	Message Message
}

// Output holds the actions that the transport has to carry out. The receiver
// must not modify its contents.
type Output struct {
	Messages []Envelope
	// Verdicts holds one verdict for each evaluated ticket, in order.
	Verdicts []Verdict
	// Events are to be logged, in order.
	Events []Event
}

// Verdict is the verdict on a ticket and the peer that delivered the ticket.
type Verdict struct {
	state.Verdict
	// From is empty for a ticket that the source delivered.
	From state.HostName
}

func (o *Output) send(to state.HostName, message Message) {
	o.Messages = append(o.Messages, Envelope{To: to, Message: message})
}

func (o *Output) report(event Event) { o.Events = append(o.Events, event) }

// TicketsRead is the time and kind of the next read of the tickets.
type TicketsRead struct {
	// At is the time of the read. It may become earlier or later until then, so
	// the caller must query it again after every call to the plane.
	At time.Time
	// After is the number of the latest evaluated ticket.
	After state.TicketNumber
	// Watch asks the source to hold the read until there is a newer ticket.
	Watch  bool
	Reason sourcereading.Reason
}

// HostListRead is the time and kind of the next read of the host list.
type HostListRead struct {
	// At is as in TicketsRead.
	At time.Time
	// After is the version of the local host list.
	After uint64
	// Watch asks the platform to hold the read until there is a newer host
	// list, but not beyond WatchUntil unless that is zero.
	Watch      bool
	WatchUntil time.Time
	// MayBeStale allows an answer that is some seconds old, because this node
	// serves no callers yet. It is recognized by its version.
	MayBeStale bool
	Reason     sourcereading.Reason
}
