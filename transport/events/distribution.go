package events

import (
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// TicketGap is logged when tickets are held back because earlier ones are
// missing.
type TicketGap struct {
	Evaluated state.TicketNumber `event:"judged"`
	Next      state.TicketNumber `event:"next"`
}

// Kind returns the description of the event.
func (TicketGap) Kind() Kind {
	return Kind{203, LevelInfo, "ticket-gap", "Tickets from next on are held back because those between judged and next are missing. The node requests them."}
}

// SnapshotTaken is logged when a snapshot of a peer's configuration is applied.
type SnapshotTaken struct {
	Peer   state.HostName     `event:"peer"`
	Ticket state.TicketNumber `event:"ticket"`
	// Duration is the time from the receipt of the snapshot until it was in force.
	Duration time.Duration `event:"took"`
}

// Kind returns the description of the event.
func (SnapshotTaken) Kind() Kind {
	return Kind{204, LevelInfo, "snapshot-taken", "A snapshot of the peer's configuration, up to the ticket, is in force on this node. Took is the time since it was received."}
}

// SnapshotRefused is logged when a snapshot of a peer's configuration is
// invalid.
type SnapshotRefused struct {
	Peer       state.HostName `event:"peer"`
	ErrorCount int            `event:"faults"`
}

// Kind returns the description of the event.
func (SnapshotRefused) Kind() Kind {
	return Kind{205, LevelError, "snapshot-refused", "The configuration that the peer sent, as a whole or as changes, is inconsistent or does not match its digest. It is discarded."}
}

// DigestDiverged is logged when the digest of a peer's configuration differs
// from the local one after the same ticket.
type DigestDiverged struct {
	Peer   state.HostName     `event:"peer"`
	Ticket state.TicketNumber `event:"ticket"`
	Digest state.Digest       `event:"digest"`
	Local  state.Digest       `event:"own"`
}

// Kind returns the description of the event.
func (DigestDiverged) Kind() Kind {
	return Kind{206, LevelError, "digest-diverged", "The peer has a different configuration after the same ticket. One of the two nodes is faulty."}
}

// SourceAnsweredOld is logged when the platform returns older values than the
// node already has.
type SourceAnsweredOld struct{}

// Kind returns the description of the event.
func (SourceAnsweredOld) Kind() Kind {
	return Kind{304, LevelInfo, "source-answered-old", "The platform returned older values than were requested. The node keeps the newer ones."}
}

// ChangesTaken is logged when the difference between two configurations that a
// peer sent is in force.
type ChangesTaken struct {
	Peer   state.HostName     `event:"peer"`
	Ticket state.TicketNumber `event:"ticket"`
	// Duration is the time from the receipt of the changes until they were in
	// force.
	Duration time.Duration `event:"took"`
}

// Kind returns the description of the event.
func (ChangesTaken) Kind() Kind {
	return Kind{207, LevelInfo, "changes-taken", "The changes up to the ticket, which the peer sent, are in force on this node. Took is the time since they were received."}
}

// HostPhaseChanged is logged when the known phase of a host changes.
type HostPhaseChanged struct {
	Host  state.HostName  `event:"host"`
	Phase state.HostPhase `event:"phase"`
}

// Kind returns the description of the event.
func (HostPhaseChanged) Kind() Kind {
	return Kind{404, LevelDebug, "host-phase-changed", "The phase of the host has changed, as observed by this node or a peer."}
}

// ParentReplaced is logged when the node gets another parent in its
// distribution tree.
type ParentReplaced struct {
	Parent state.HostName `event:"parent"`
}

// Kind returns the description of the event.
func (ParentReplaced) Kind() Kind {
	return Kind{405, LevelInfo, "parent-replaced", "The parent was silent or unreachable, so another host forwards tickets to this node."}
}

// BackendServerRegistered is logged when a backend server registers itself or
// updates its registration.
type BackendServerRegistered struct {
	Version       uint64                  `event:"version"`
	BackendServer state.BackendServerName `event:"backend_server"`
	Service       state.ServiceName       `event:"service"`
	Address       string                  `event:"address"`
	Zone          state.AvailabilityZone  `event:"zone"`
	Draining      bool                    `event:"draining"`
}

// Kind returns the description of the event.
func (BackendServerRegistered) Kind() Kind {
	return Kind{311, LevelInfo, "backend-server-registered", "A backend server has registered itself or changed its registration."}
}

// BackendServerUnregistered is logged when the registration of a backend server
// was removed or has expired.
type BackendServerUnregistered struct {
	Version       uint64                  `event:"version"`
	BackendServer state.BackendServerName `event:"backend_server"`
	Service       state.ServiceName       `event:"service"`
}

// Kind returns the description of the event.
func (BackendServerUnregistered) Kind() Kind {
	return Kind{312, LevelInfo, "backend-server-unregistered", "The registration of a backend server no longer exists: it receives no new calls."}
}

// SourceValueIgnored is logged when a value published by the platform can't be
// decoded. The value is ignored; the others are used.
type SourceValueIgnored struct {
	Key      string `event:"key"`
	Revision uint64 `event:"revision"`
	Error    error  `event:"error"`
}

// Kind returns the description of the event.
func (SourceValueIgnored) Kind() Kind {
	return Kind{305, LevelError, "source-value-ignored", "A value of the platform, or a part of it, can't be decoded and is ignored. The rest is used."}
}

// ZoneDrained is logged when an availability zone is drained.
type ZoneDrained struct {
	Zone    state.AvailabilityZone `event:"zone"`
	Version uint64                 `event:"version"`
	From    state.HostName         `event:"from"`
}

// Kind returns the description of the event.
func (ZoneDrained) Kind() Kind {
	return Kind{321, LevelInfo, "zone-drained", "The backend servers of the availability zone get no more calls from this node or through its guard. From is the peer that has sent the change, empty for the platform."}
}

// ZoneDrainEnded is logged when an availability zone is no longer drained.
type ZoneDrainEnded struct {
	Zone    state.AvailabilityZone `event:"zone"`
	Version uint64                 `event:"version"`
	From    state.HostName         `event:"from"`
}

// Kind returns the description of the event.
func (ZoneDrainEnded) Kind() Kind {
	return Kind{322, LevelInfo, "zone-drain-ended", "The availability zone is no longer drained: its backend servers get calls again. From is the peer that has sent the change, empty for the platform."}
}
