package control

import (
	"time"

	"github.com/wasabiport/wasabiport/coordination/fleetstatus"
	"github.com/wasabiport/wasabiport/coordination/membership"
	"github.com/wasabiport/wasabiport/coordination/quarantine"
	"github.com/wasabiport/wasabiport/state"
)

// Message is a message between two nodes on a control session.
type Message interface {
	message()
}

// Version identifies the configuration that a node has in force.
type Version = state.Version

// HostUpdate is the state of a host as reported by a node.
type HostUpdate = membership.HostUpdate

// NeverConfirmed is the age of a state that the source has never confirmed.
const NeverConfirmed time.Duration = -1

// Offer announces the sender's version. It is also the sender's heartbeat. A
// peer that is behind requests the missing state.
type Offer struct {
	Version Version
	// Incarnation, Heartbeat and Phase describe the sender.
	Incarnation uint64
	Heartbeat   uint64
	Phase       state.HostPhase
	// HostListVersion is the version of the sender's host list, or 0 if it has
	// none to offer. HostListDigest is the digest of the list, also of one that is
	// not offered, or 0 from a node of an earlier release.
	HostListVersion uint64
	HostListDigest  state.Digest
	// TicketsAge and HostListAge are the times since the source confirmed the
	// sender's tickets and host list, or NeverConfirmed.
	TicketsAge  time.Duration
	HostListAge time.Duration
	// Reply is true if the peer should answer with its own offer.
	Reply bool
	// AcceptsDiffs is true if the sender understands SnapshotDiff. Nodes of
	// earlier releases don't.
	AcceptsDiffs bool
	// AcceptsDrainedZones is true if the sender understands DrainedZones. Nodes of
	// earlier releases don't. DrainedZonesVersion and DrainedZonesDigest are those of
	// the sender's drained zones; version 0 means that it has not received any yet.
	AcceptsDrainedZones bool
	DrainedZonesVersion uint64
	DrainedZonesDigest  state.Digest
}

// Tickets carries tickets, ordered by number.
type Tickets struct {
	Tickets []state.Ticket
}

// TicketsRequest requests the tickets after a number, or a snapshot if the peer
// no longer stores them.
type TicketsRequest struct {
	After state.TicketNumber
	// Whole requests a snapshot, because a difference did not lead to its
	// digest.
	Whole bool
}

// Snapshot carries a full configuration.
type Snapshot struct {
	Snapshot *state.Snapshot
	// Digest is the sender's digest of the snapshot.
	Digest state.Digest
}

// SnapshotDiff carries the difference between two configurations.
type SnapshotDiff struct {
	Diff state.SnapshotDiff
}

// HostUpdates carries changes of the state of hosts.
type HostUpdates struct {
	Updates []HostUpdate
}

// HostList carries the platform's host list.
type HostList struct {
	List state.HostList
}

// HostListRequest requests the host list if it is newer than the version Have.
type HostListRequest struct {
	Have uint64
}

// HostListChanges carries the difference between two versions of the host list.
type HostListChanges struct {
	Changes membership.Changes
}

// DrainedZones carries the drained availability zones. It is sent only to peers that
// accept it.
type DrainedZones struct {
	Zones state.DrainedZones
}

// SubtreeStatus reports the versions of the hosts in the sender's subtree to
// its parent.
type SubtreeStatus struct {
	Counts []fleetstatus.VersionCount
}

// FleetStatus reports the versions of the hosts by availability zone.
type FleetStatus struct {
	Zones []fleetstatus.ZoneReport
}

// CrashNotices carries the requests that may crash backend servers to other
// guards.
type CrashNotices struct {
	Notices []quarantine.Notice
}

func (Offer) message()           {}
func (Tickets) message()         {}
func (TicketsRequest) message()  {}
func (Snapshot) message()        {}
func (SnapshotDiff) message()    {}
func (CrashNotices) message()    {}
func (HostUpdates) message()     {}
func (HostList) message()        {}
func (HostListRequest) message() {}
func (HostListChanges) message() {}
func (DrainedZones) message()    {}
func (SubtreeStatus) message()   {}
func (FleetStatus) message()     {}
