package control

import (
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// Event is something that operators should see in the log.
type Event interface {
	event()
}

// TicketGap says that stored tickets can't be evaluated because tickets before
// them are missing.
type TicketGap struct {
	// Evaluated is the latest evaluated ticket.
	Evaluated state.TicketNumber
	// Next is the first ticket after the gap.
	Next state.TicketNumber
}

// DigestDiverged says that a peer has a different configuration after
// evaluating the same tickets.
type DigestDiverged struct {
	Peer    state.HostName
	Version Version
	Local   Version
}

// SnapshotApplied says that a peer's full configuration was put in force.
type SnapshotApplied struct {
	Peer    state.HostName
	Version Version
}

// SnapshotRejected says that a peer's configuration was inconsistent or did not
// match its digest.
type SnapshotRejected struct {
	Peer   state.HostName
	Errors []state.ValidationError
}

// HostPhaseChanged says that the phase of a host changed.
type HostPhaseChanged struct {
	Host  state.HostName
	Phase state.HostPhase
}

// ParentReplaced says that a parent was silent or unreachable and another one
// replaces it.
type ParentReplaced struct {
	Parent state.HostName
}

// Resumed says that the process was paused and runs again.
type Resumed struct {
	Delay time.Duration
}

// StaleSourceAnswer says that the source returned older tickets than requested,
// or only tickets that follow a gap.
type StaleSourceAnswer struct{}

// BackendServerRegistered says that a backend server registered itself or
// changed its registration.
type BackendServerRegistered struct {
	// Version is the version of the host list that contains the registration.
	Version uint64
	Server  state.BackendServer
}

// BackendServerUnregistered says that a backend server is no longer registered.
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
