// Package membership decides which hosts take part in the fleet. It starts from
// the platform's host list, which may be outdated, and corrects it with the
// updates that nodes exchange.
package membership

import "github.com/wasabiport/wasabiport/state"

// HostUpdate is the state of a host as reported by a node.
type HostUpdate struct {
	Host state.HostName
	// Incarnation is the start time of the host's node in nanoseconds since the
	// Unix epoch. It grows with every restart of the node.
	Incarnation uint64
	// Heartbeat counts the announcements of the node in this incarnation.
	Heartbeat uint64
	Phase     state.HostPhase
}

// supersedes reports whether u is newer than old. It is a total order, so
// updates may arrive in any order: a higher incarnation wins, then leaving,
// which is final within an incarnation, then a higher heartbeat, then the more
// severe phase.
func (u HostUpdate) supersedes(old HostUpdate) bool {
	if u.Incarnation != old.Incarnation {
		return u.Incarnation > old.Incarnation
	}
	if leaves := u.Phase == state.HostLeaving; leaves != (old.Phase == state.HostLeaving) {
		return leaves
	}
	if u.Heartbeat != old.Heartbeat {
		return u.Heartbeat > old.Heartbeat
	}
	return severity(u.Phase) > severity(old.Phase)
}

func severity(phase state.HostPhase) int {
	switch phase {
	case state.HostLive:
		return 0
	case state.HostSuspect:
		return 1
	default:
		return 2
	}
}

// changesState reports whether the change from old to u must be forwarded to
// other nodes. A higher heartbeat alone is not forwarded.
func (u HostUpdate) changesState(old HostUpdate) bool {
	return u.Phase != old.Phase || u.Incarnation != old.Incarnation
}
