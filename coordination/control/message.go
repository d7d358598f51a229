package control

import (
	"time"

	"github.com/wasabiport/wasabiport/coordination/fleetstatus"
	"github.com/wasabiport/wasabiport/coordination/membership"
	"github.com/wasabiport/wasabiport/coordination/quarantine"
	"github.com/wasabiport/wasabiport/state"
)

// Message is what two nodes tell each other outside of calls.
type Message interface {
	message()
}

// Version says how far a node has come.
type Version = state.Version

// HostUpdate is what a node says about a host.
type HostUpdate = membership.HostUpdate

// NeverConfirmed is the age of a state that the source has not confirmed.
const NeverConfirmed time.Duration = -1

// Offer tells a peer how far the sender has come. It is also the sender's
// heartbeat. A peer that lacks something asks for it.
type Offer struct {
	Version Version
	// Incarnation, Heartbeat and Phase are what the sender says of itself.
	Incarnation uint64
	Heartbeat   uint64
	Phase       state.HostPhase
	// HostListVersion is the version of the sender's host list.
	HostListVersion uint64
	// TicketsAge and HostListAge are the times since the source confirmed
	// the sender's tickets and host list, or NeverConfirmed.
	TicketsAge  time.Duration
	HostListAge time.Duration
	// Reply asks the peer for its own offer.
	Reply bool
}

// Tickets carries tickets in the order of their numbers.
type Tickets struct {
	Tickets []state.Ticket
}

// TicketsRequest asks for the tickets after a number, or for a snapshot when the
// peer does not hold them any more.
type TicketsRequest struct {
	After state.TicketNumber
}

// Snapshot carries a whole configuration.
type Snapshot struct {
	Snapshot *state.Snapshot
	// Digest is the digest that the sender has for it.
	Digest state.Digest
}

// HostUpdates carries news of hosts.
type HostUpdates struct {
	Updates []HostUpdate
}

// HostList carries the platform's host list.
type HostList struct {
	List state.HostList
}

// HostListRequest asks for the host list when it is newer than a version.
type HostListRequest struct {
	Have uint64
}

// HostListChanges carries the difference between two versions of the host
// list.
type HostListChanges struct {
	Changes membership.Changes
}

// SubtreeStatus tells a parent how far the hosts of the sender's subtree have
// come.
type SubtreeStatus struct {
	Counts []fleetstatus.VersionCount
}

// FleetStatus tells how far each availability zone has come.
type FleetStatus struct {
	Zones []fleetstatus.ZoneReport
}

// CrashNotices tells other guards of requests that may crash backend servers.
type CrashNotices struct {
	Notices []quarantine.Notice
}

func (Offer) message()           {}
func (Tickets) message()         {}
func (TicketsRequest) message()  {}
func (Snapshot) message()        {}
func (CrashNotices) message()    {}
func (HostUpdates) message()     {}
func (HostList) message()        {}
func (HostListRequest) message() {}
func (HostListChanges) message() {}
func (SubtreeStatus) message()   {}
func (FleetStatus) message()     {}
