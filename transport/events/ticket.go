package events

import (
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// TicketAccepted is logged when a ticket is accepted and in force on the node.
type TicketAccepted struct {
	Ticket state.TicketNumber `event:"ticket"`
	// From is the peer that delivered the ticket, empty for the platform.
	From state.HostName `event:"from"`
	// Duration is the time from the receipt of the ticket until it was in force.
	Duration time.Duration `event:"took"`
}

// Kind returns the description of the event.
func (TicketAccepted) Kind() Kind {
	return Kind{201, LevelInfo, "ticket-accepted", "The ticket is accepted and in force on this node. From is the peer that delivered it, empty for the platform; took is the time since it was received."}
}

// TicketRejected is logged when a ticket is rejected.
type TicketRejected struct {
	Ticket     state.TicketNumber `event:"ticket"`
	ErrorCount int                `event:"faults"`
	Path       string             `event:"path"`
	Reason     string             `event:"reason"`
	// From is the peer that delivered the ticket, empty for the platform.
	From state.HostName `event:"from"`
}

// Kind returns the description of the event.
func (TicketRejected) Kind() Kind {
	return Kind{202, LevelError, "ticket-rejected", "The ticket is rejected and changes nothing. From is the peer that delivered it, empty for the platform. Path and reason are those of its first fault."}
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

// SourceAnswerSlow is logged when an answer of the platform takes long to
// arrive, counted from its first byte.
type SourceAnswerSlow struct {
	Path     string        `event:"path"`
	Bytes    int           `event:"bytes"`
	Duration time.Duration `event:"took"`
}

// Kind returns the description of the event.
func (SourceAnswerSlow) Kind() Kind {
	return Kind{306, LevelInfo, "source-answer-slow", "An answer of the platform took over 100 ms from its first byte to its last."}
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

// SourceRestored is logged when the platform has returned from a copy of an earlier
// state: what was written since is lost, and its revisions are given out again.
type SourceRestored struct {
	// Era counts the returns.
	Era            uint64 `event:"era"`
	Revision       uint64 `event:"revision"`
	EraBefore      uint64 `event:"era_before"`
	RevisionBefore uint64 `event:"revision_before"`
}

// Kind returns the description of the event.
func (SourceRestored) Kind() Kind {
	return Kind{307, LevelInfo, "source-restored", "The platform has returned from a copy of an earlier state. The node keeps the newer configuration that it has and reads everything again."}
}
