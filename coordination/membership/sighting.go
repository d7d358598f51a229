// Package membership decides which hosts take part in the fleet. It starts
// from the platform's host list, which lags, and corrects it by what nodes see
// of each other.
package membership

import "github.com/wasabiport/wasabiport/state"

// HostUpdate is what a node says about a host.
type HostUpdate struct {
	Host state.HostName
	// Incarnation is the start time of the host's node in nanoseconds since
	// 1970. A restarted node has a larger one.
	Incarnation uint64
	// Heartbeat counts the node's own announcements in this incarnation.
	Heartbeat uint64
	Phase     state.HostPhase
}

// supersedes reports whether s is newer than old. It is a total order, so that
// sightings may arrive in any order: by incarnation, in which a leave is final,
// then by heartbeat, and at the same heartbeat the worse phase wins.
func (s HostUpdate) supersedes(old HostUpdate) bool {
	if s.Incarnation != old.Incarnation {
		return s.Incarnation > old.Incarnation
	}
	if leaves := s.Phase == state.HostLeaving; leaves != (old.Phase == state.HostLeaving) {
		return leaves
	}
	if s.Heartbeat != old.Heartbeat {
		return s.Heartbeat > old.Heartbeat
	}
	return severity(s.Phase) > severity(old.Phase)
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

// isNewsAfter reports whether other nodes have to hear of the change from old
// to s. A larger heartbeat alone is no news.
func (s HostUpdate) isNewsAfter(old HostUpdate) bool {
	return s.Phase != old.Phase || s.Incarnation != old.Incarnation
}
