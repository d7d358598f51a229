package membership

import (
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// MergeResult is the result of merging host updates.
type MergeResult struct {
	// Updates are to be forwarded to other nodes.
	Updates []HostUpdate
	// Corrections are to be returned to a sender whose updates were outdated.
	Corrections []HostUpdate
}

// Merge adds host updates received from a peer.
func (t *Table) Merge(now time.Time, updates []HostUpdate) MergeResult {
	var result MergeResult
	for _, update := range updates {
		if update.Host == t.config.Self.Name {
			t.mergeSelf(&result, update)
			continue
		}
		t.merge(now, &result, update)
	}
	return result
}

// mergeSelf refutes incorrect updates about the local node with a higher
// heartbeat.
func (t *Table) mergeSelf(result *MergeResult, update HostUpdate) {
	t.selfMu.Lock()
	defer t.selfMu.Unlock()
	if !update.supersedes(t.self) {
		return
	}
	t.self.Incarnation = max(t.self.Incarnation, update.Incarnation)
	t.self.Heartbeat = max(t.self.Heartbeat, update.Heartbeat) + 1
	result.Updates = append(result.Updates, t.self)
}

func (t *Table) merge(now time.Time, result *MergeResult, update HostUpdate) {
	t.members.Update(update.Host, func(m member, present bool) (member, bool) {
		switch {
		case !present:
			// An unlisted host is stored only by nodes that have a session with
			// it.
			return m, false
		case update.supersedes(m.update):
			if update.changesState(m.update) {
				result.Updates = append(result.Updates, update)
				t.generation.Add(1)
			}
			return m.withUpdate(now, update), true
		case m.update.supersedes(update) && m.update.changesState(update):
			result.Corrections = append(result.Corrections, m.update)
		}
		return m, true
	})
}

// MergeDirect adds an update that a peer sent about itself in its own session.
func (t *Table) MergeDirect(now time.Time, update HostUpdate) MergeResult {
	var result MergeResult
	t.members.Update(update.Host, func(m member, present bool) (member, bool) {
		m.lastReceivedAt = now
		switch {
		case update.supersedes(m.update) || !present:
			if update.changesState(m.update) {
				result.Updates = append(result.Updates, update)
				t.generation.Add(1)
			}
			return m.withUpdate(now, update), true
		case m.update.supersedes(update) && m.update.changesState(update):
			result.Corrections = append(result.Corrections, m.update)
		}
		return m, true
	})
	return result
}

// Suspect marks a live host as suspect if the last message from the host itself
// is older than SilenceTimeout. It returns the update for other nodes, which
// correct it if they have received a message from the host since.
func (t *Table) Suspect(now time.Time, host state.HostName) []HostUpdate {
	var updates []HostUpdate
	t.members.Update(host, func(m member, present bool) (member, bool) {
		if !present || m.update.Phase != state.HostLive || now.Sub(m.lastReceivedAt) < t.config.SilenceTimeout {
			return m, present
		}
		suspicion := m.update
		suspicion.Phase = state.HostSuspect
		updates = append(updates, suspicion)
		t.generation.Add(1)
		return m.withUpdate(now, suspicion), true
	})
	return updates
}

// Expire marks hosts as gone whose suspicion has lasted for SuspicionTimeout,
// and returns the updates. Only nodes in the host's own availability zone do
// so, so that a network partition between availability zones marks no hosts as
// gone. The caller must be in contact with at least one other peer, which could
// have refuted the suspicion.
func (t *Table) Expire(now time.Time) []HostUpdate {
	var expired []state.HostName
	t.members.Range(func(name state.HostName, m member) bool {
		if t.isExpired(now, m) {
			expired = append(expired, name)
		}
		return true
	})
	var updates []HostUpdate
	for _, name := range expired {
		t.members.Update(name, func(m member, present bool) (member, bool) {
			if !present || !t.isExpired(now, m) {
				return m, present
			}
			gone := m.update
			gone.Phase = state.HostGone
			updates = append(updates, gone)
			t.generation.Add(1)
			return m.withUpdate(now, gone), true
		})
	}
	return updates
}

func (t *Table) isExpired(now time.Time, m member) bool {
	return m.update.Phase == state.HostSuspect &&
		m.host.Zone == t.config.Self.Zone &&
		now.Sub(m.suspectSince) >= t.config.SuspicionTimeout
}

// ResetTimers restarts the silence and suspicion timers of all hosts. After a
// pause of the local node they do not show that a host was silent.
func (t *Table) ResetTimers(now time.Time) {
	var names []state.HostName
	t.members.Range(func(name state.HostName, _ member) bool {
		names = append(names, name)
		return true
	})
	for _, name := range names {
		t.members.Update(name, func(m member, present bool) (member, bool) {
			m.lastReceivedAt = now
			if !m.suspectSince.IsZero() {
				m.suspectSince = now
			}
			return m, present
		})
	}
}
