package control

import "github.com/wasabiport/wasabiport/state"

// Message is what two nodes tell each other outside of calls.
type Message interface {
	message()
}

// Head says how far a node has come.
type Head struct {
	Judged   state.TicketNumber
	Accepted state.TicketNumber
	Digest   state.Digest
}

// Offer tells a peer how far the sender has come. The peer answers with what
// the sender lacks, or asks for what it lacks itself.
type Offer struct {
	Head Head
}

// Tickets carries tickets in the order of their numbers.
type Tickets struct {
	Tickets []state.Ticket
}

// Request asks for the tickets after a number, or for a snapshot when the
// peer does not hold them any more.
type Request struct {
	After state.TicketNumber
}

// Snapshot carries a whole configuration.
type Snapshot struct {
	Snapshot *state.Snapshot
}

// Sighting is what a node says about a host.
type Sighting struct {
	Host state.HostName
	// Incarnation is the start time of the host's node in nanoseconds since
	// 1970. A restarted node has a larger one.
	Incarnation uint64
	// Heartbeat counts the node's own announcements in this incarnation.
	Heartbeat uint64
	Phase     state.HostPhase
}

// Sightings carries news of hosts.
type Sightings struct {
	Sightings []Sighting
}

func (Offer) message()     {}
func (Tickets) message()   {}
func (Request) message()   {}
func (Snapshot) message()  {}
func (Sightings) message() {}
