package control

import (
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// Event is something that operators should see in the log.
type Event interface {
	event()
}

// TicketGap is reported when stored tickets can't be evaluated because tickets
// before them are missing.
type TicketGap struct {
	// Evaluated is the latest evaluated ticket.
	Evaluated state.TicketNumber
	// Next is the first ticket after the gap.
	Next state.TicketNumber
}

// DigestDiverged is reported when a peer has a different configuration after
// evaluating the same tickets.
type DigestDiverged struct {
	Peer    state.HostName
	Version Version
	Local   Version
}

// SnapshotApplied is reported when the full configuration of a peer was put in
// force.
type SnapshotApplied struct {
	Peer    state.HostName
	Version Version
}

// DiffApplied is reported when the difference between two configurations that a
// peer sent was put in force.
type DiffApplied struct {
	Peer    state.HostName
	Version Version
}

// SnapshotRejected is reported when the configuration of a peer was
// inconsistent or did not match its digest.
type SnapshotRejected struct {
	Peer   state.HostName
	Errors []state.ValidationError
}

// HostPhaseChanged is reported when the phase of a host has changed.
type HostPhaseChanged struct {
	Host  state.HostName
	Phase state.HostPhase
}

// ParentReplaced is reported when a silent or unreachable parent was replaced.
type ParentReplaced struct {
	Parent state.HostName
}

// Resumed is reported when the process runs again after a pause.
type Resumed struct {
	Delay time.Duration
}

// StaleSourceAnswer is reported when the source returned older tickets than
// requested, or only tickets that follow a gap.
type StaleSourceAnswer struct{}

// BackendServerRegistered is reported when a backend server has registered
// itself or changed its registration.
type BackendServerRegistered struct {
	// Version is the version of the host list that contains the registration.
	Version uint64
	Server  state.BackendServer
}

// BackendServerUnregistered is reported when a backend server is no longer
// registered.
type BackendServerUnregistered struct {
	Version uint64
	Server  state.BackendServer
}

// ZoneDrained is reported when an availability zone is drained: its backend servers get
// no more calls.
type ZoneDrained struct {
	Zone state.AvailabilityZone
	// Version is that of the drained zones.
	Version uint64
	// From is the peer that has sent them, or empty for the source.
	From state.HostName
}

// ZoneDrainEnded is reported when an availability zone is no longer drained.
type ZoneDrainEnded struct {
	Zone    state.AvailabilityZone
	Version uint64
	From    state.HostName
}

func (ZoneDrained) event()    {}
func (ZoneDrainEnded) event() {}

func (BackendServerRegistered) event()   {}
func (BackendServerUnregistered) event() {}

func (TicketGap) event()         {}
func (DigestDiverged) event()    {}
func (DiffApplied) event()       {}
func (SnapshotApplied) event()   {}
func (SnapshotRejected) event()  {}
func (HostPhaseChanged) event()  {}
func (ParentReplaced) event()    {}
func (Resumed) event()           {}
func (StaleSourceAnswer) event() {}
