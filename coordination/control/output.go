package control

import (
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// Send is a message that the transport has to deliver.
type Send struct {
	To      state.HostName
	Message Message
}

// Output is what a decision asks the transport to do. Nothing in it may be
// changed by the receiver.
type Output struct {
	Sends []Send
	// Verdicts are the tickets that were judged, in order.
	Verdicts []state.Verdict
}

// SourceRead says when to read the source next and how.
type SourceRead struct {
	// At is the time of the read.
	At time.Time
	// After is the number of the latest ticket that is known.
	After state.TicketNumber
	// Watch asks the source to hold the read until there is something newer.
	Watch bool
}
