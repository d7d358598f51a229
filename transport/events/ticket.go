package events

import "github.com/wasabiport/wasabiport/state"

// TicketAccepted is logged when a ticket is accepted and in force on the node.
type TicketAccepted struct {
	Ticket state.TicketNumber `event:"ticket"`
}

// Kind returns the description of the event.
func (TicketAccepted) Kind() Kind {
	return Kind{201, LevelInfo, "ticket-accepted", "The ticket is accepted and in force on this node."}
}

// TicketRejected is logged when a ticket is rejected.
type TicketRejected struct {
	Ticket     state.TicketNumber `event:"ticket"`
	ErrorCount int                `event:"faults"`
	Path       string             `event:"path"`
	Reason     string             `event:"reason"`
}

// Kind returns the description of the event.
func (TicketRejected) Kind() Kind {
	return Kind{202, LevelError, "ticket-rejected", "The ticket is rejected and changes nothing. Path and reason are those of its first fault."}
}

// SourceFailed is logged when reads of the platform start to fail.
type SourceFailed struct {
	Error error `event:"error"`
}

// Kind returns the description of the event.
func (SourceFailed) Kind() Kind {
	return Kind{301, LevelError, "source-failed", "A read of the platform failed; the one before succeeded. The node continues with the data it has."}
}

// SourceRecovered is logged when reads of the platform succeed again.
type SourceRecovered struct{}

// Kind returns the description of the event.
func (SourceRecovered) Kind() Kind {
	return Kind{302, LevelInfo, "source-recovered", "Reads of the platform succeed again."}
}

// HostListChanged is logged when the node reads a new version of the platform's
// host list.
type HostListChanged struct {
	Version uint64 `event:"version"`
	Hosts   int    `event:"hosts"`
}

// Kind returns the description of the event.
func (HostListChanged) Kind() Kind {
	return Kind{303, LevelDebug, "host-list-changed", "The platform has published a new host list."}
}
