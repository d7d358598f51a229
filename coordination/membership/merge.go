package membership

import (
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// MergeResult is the outcome of hearing about hosts.
type MergeResult struct {
	// Updates are the sightings that other nodes have to hear.
	Updates []HostUpdate
	// Corrections are for the one who sent outdated sightings.
	Corrections []HostUpdate
}

// Merge takes sightings from a peer.
func (t *Table) Merge(now time.Time, sightings []HostUpdate) MergeResult {
	var merged MergeResult
	for _, sighting := range sightings {
		if sighting.Host == t.config.Self.Name {
			t.mergeSelf(&merged, sighting)
			continue
		}
		t.merge(now, &merged, sighting)
	}
	return merged
}

// mergeSelf refutes what others say wrongly about this node.
func (t *Table) mergeSelf(merged *MergeResult, sighting HostUpdate) {
	t.selfMu.Lock()
	defer t.selfMu.Unlock()
	if !sighting.supersedes(t.self) {
		return
	}
	t.self.Incarnation = max(t.self.Incarnation, sighting.Incarnation)
	t.self.Heartbeat = max(t.self.Heartbeat, sighting.Heartbeat) + 1
	merged.Updates = append(merged.Updates, t.self)
}

func (t *Table) merge(now time.Time, merged *MergeResult, sighting HostUpdate) {
	t.members.Update(sighting.Host, func(m member, present bool) (member, bool) {
		switch {
		case !present:
			// A host that is not listed yet is remembered only by the
			// nodes that see it themselves.
			return m, false
		case sighting.supersedes(m.sighting):
			if sighting.isNewsAfter(m.sighting) {
				merged.Updates = append(merged.Updates, sighting)
				t.generation.Add(1)
			}
			return m.sighted(now, sighting), true
		case m.sighting.supersedes(sighting) && m.sighting.isNewsAfter(sighting):
			merged.Corrections = append(merged.Corrections, m.sighting)
		}
		return m, true
	})
}

// MergeDirect takes what a peer says about itself over its own session.
func (t *Table) MergeDirect(now time.Time, sighting HostUpdate) MergeResult {
	var merged MergeResult
	t.members.Update(sighting.Host, func(m member, present bool) (member, bool) {
		m.heardAt = now
		switch {
		case sighting.supersedes(m.sighting) || !present:
			if sighting.isNewsAfter(m.sighting) {
				merged.Updates = append(merged.Updates, sighting)
				t.generation.Add(1)
			}
			return m.sighted(now, sighting), true
		case m.sighting.supersedes(sighting) && m.sighting.isNewsAfter(sighting):
			merged.Corrections = append(merged.Corrections, m.sighting)
		}
		return m, true
	})
	return merged
}

// Suspect says that a peer with a session has not been heard for longer than
// DirectSightTimeout. It returns the suspicion to tell others, who correct it
// when they have heard the host since.
func (t *Table) Suspect(now time.Time, host state.HostName) []HostUpdate {
	var news []HostUpdate
	t.members.Update(host, func(m member, present bool) (member, bool) {
		if !present || m.sighting.Phase != state.HostLive || now.Sub(m.heardAt) < t.config.SilenceTimeout {
			return m, present
		}
		suspicion := m.sighting
		suspicion.Phase = state.HostSuspect
		news = append(news, suspicion)
		t.generation.Add(1)
		return m.sighted(now, suspicion), true
	})
	return news
}

// Expire turns hosts gone whose suspicion has lasted for SuspicionTimeout, and
// returns the news. Only a node in the host's own availability zone does so, so
// that a cut between availability zones makes nobody gone. The caller has to
// hear at least one other peer, which could have contradicted the suspicion.
func (t *Table) Expire(now time.Time) []HostUpdate {
	var expired []state.HostName
	t.members.Range(func(name state.HostName, m member) bool {
		if t.isExpired(now, m) {
			expired = append(expired, name)
		}
		return true
	})
	var news []HostUpdate
	for _, name := range expired {
		t.members.Update(name, func(m member, present bool) (member, bool) {
			if !present || !t.isExpired(now, m) {
				return m, present
			}
			gone := m.sighting
			gone.Phase = state.HostGone
			news = append(news, gone)
			t.generation.Add(1)
			return m.sighted(now, gone), true
		})
	}
	return news
}

func (t *Table) isExpired(now time.Time, m member) bool {
	return m.sighting.Phase == state.HostSuspect &&
		m.host.Zone == t.config.Self.Zone &&
		now.Sub(m.suspectSince) >= t.config.SuspicionTimeout
}

// ResetTimers gives every host a new period of grace, because this node was
// paused and its silence timers mean nothing.
func (t *Table) ResetTimers(now time.Time) {
	var names []state.HostName
	t.members.Range(func(name state.HostName, _ member) bool {
		names = append(names, name)
		return true
	})
	for _, name := range names {
		t.members.Update(name, func(m member, present bool) (member, bool) {
			m.heardAt = now
			if !m.suspectSince.IsZero() {
				m.suspectSince = now
			}
			return m, present
		})
	}
}
