package control

import (
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// Event is something that operators should be able to see in the log.
type Event interface {
	event()
}

// TicketGap says that tickets are held which can't be judged, because the ones
// between are missing.
type TicketGap struct {
	// Evaluated is the latest ticket that was judged.
	Evaluated state.TicketNumber
	// Next is the first ticket that waits.
	Next state.TicketNumber
}

// DigestDiverged says that a peer has another configuration after the same
// tickets.
type DigestDiverged struct {
	Peer    state.HostName
	Version Version
	Local   Version
}

// SnapshotApplied says that a peer's whole configuration was put in force.
type SnapshotApplied struct {
	Peer    state.HostName
	Version Version
}

// SnapshotRejected says that a peer's configuration was not consistent or did
// not have its digest.
type SnapshotRejected struct {
	Peer   state.HostName
	Errors []state.ValidationError
}

// HostPhaseChanged says that a host is seen in another phase.
type HostPhaseChanged struct {
	Host  state.HostName
	Phase state.HostPhase
}

// ParentReplaced says that a parent was silent or out of reach.
type ParentReplaced struct {
	Parent state.HostName
}

// Resumed says that the process did not run for a while.
type Resumed struct {
	Delay time.Duration
}

// StaleSourceAnswer says that the source answered with older tickets than were
// asked for, or with some that wait behind a gap.
type StaleSourceAnswer struct{}

// BackendServerRegistered says that a backend server has registered itself,
// or has changed what it says of itself.
type BackendServerRegistered struct {
	// Version is that of the host list that says so.
	Version uint64
	Server  state.BackendServer
}

// BackendServerUnregistered says that the registration of a backend server is
// gone.
type BackendServerUnregistered struct {
	Version uint64
	Server  state.BackendServer
}

func (BackendServerRegistered) event()   {}
func (BackendServerUnregistered) event() {}

func (TicketGap) event()         {}
func (DigestDiverged) event()    {}
func (SnapshotApplied) event()   {}
func (SnapshotRejected) event()  {}
func (HostPhaseChanged) event()  {}
func (ParentReplaced) event()    {}
func (Resumed) event()           {}
func (StaleSourceAnswer) event() {}
