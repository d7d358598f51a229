package membership

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// unlistedRetention is how long the state of a host is kept that has sent
// messages but is not in the platform's list.
const unlistedRetention = 5 * time.Minute

// Config holds the settings of a Table.
type Config struct {
	// Self is the local host.
	Self state.Host
	// Incarnation is the start time of the local node in nanoseconds since the
	// Unix epoch.
	Incarnation uint64
	// SilenceTimeout is the time without a message after which a connected peer
	// may be suspected. A smaller value detects failures sooner and mistakes
	// short pauses for failures.
	SilenceTimeout time.Duration
	// SuspicionTimeout is how long a suspect host may stay silent before it is
	// gone.
	SuspicionTimeout time.Duration
}

// Table holds the state of all hosts. Hosts are kept in shards, each under its
// own lock; the host list and the state of the local node have one lock each.
type Table struct {
	config  Config
	members *state.ShardedMap[state.HostName, member]
	// generation grows with each change of a phase or of the host list.
	generation atomic.Uint64

	listMu     sync.Mutex
	list       state.HostList
	listDigest state.Digest

	selfMu sync.Mutex
	self   HostUpdate
}

// NewTable returns a table that holds only the local host.
func NewTable(config Config) *Table {
	table := &Table{
		config:  config,
		members: state.NewShardedMap[state.HostName, member](state.DefaultShardCount),
		self:    HostUpdate{Host: config.Self.Name, Incarnation: config.Incarnation, Phase: state.HostLive},
	}
	table.generation.Store(1)
	return table
}

// Generation returns a number that grows with each change of a phase or of the
// host list.
func (t *Table) Generation() uint64 { return t.generation.Load() }

// List returns the latest host list. The caller must not modify its hosts.
func (t *Table) List() state.HostList {
	t.listMu.Lock()
	defer t.listMu.Unlock()
	return t.list
}

// ListVersion returns the version and the digest of the latest host list.
func (t *Table) ListVersion() (uint64, state.Digest) {
	t.listMu.Lock()
	defer t.listMu.Unlock()
	return t.list.Version, t.listDigest
}

// ConfirmList raises the version of the host list if a later version has the same
// digest. It returns false if the digest differs or there is no list yet.
func (t *Table) ConfirmList(version uint64, digest state.Digest) bool {
	t.listMu.Lock()
	defer t.listMu.Unlock()
	if t.list.Version == 0 || digest != t.listDigest {
		return false
	}
	t.list.Version = max(t.list.Version, version)
	return true
}

// ApplyList replaces the host list and returns the changes from the previous
// one. It returns false if the list is not newer or has the same content.
func (t *Table) ApplyList(now time.Time, list state.HostList) (Changes, bool) {
	digest := list.Digest()
	if t.ConfirmList(list.Version, digest) {
		return Changes{}, false
	}
	old, newer := t.replaceList(list, digest)
	if !newer {
		return Changes{}, false
	}
	changes := Diff(old, list)
	for _, host := range list.Hosts {
		t.members.Update(host.Name, func(m member, _ bool) (member, bool) {
			return m.withListing(now, host), true
		})
	}
	for _, name := range changes.Remove {
		t.members.Delete(name)
	}
	t.members.RemoveIf(func(_ state.HostName, m member) bool {
		return m.host.Name == "" && now.Sub(m.lastReceivedAt) > unlistedRetention
	})
	t.generation.Add(1)
	return changes, true
}

func (t *Table) replaceList(list state.HostList, digest state.Digest) (state.HostList, bool) {
	t.listMu.Lock()
	defer t.listMu.Unlock()
	old := t.list
	if list.Version <= old.Version {
		return old, false
	}
	t.list, t.listDigest = list, digest
	return old, true
}

// Host returns a host as listed by the platform, with its phase corrected by
// the updates of other nodes.
func (t *Table) Host(name state.HostName) (state.Host, bool) {
	if name == t.config.Self.Name {
		host := t.config.Self
		host.Phase = t.Self().Phase
		return host, true
	}
	m, ok := t.members.Get(name)
	if !ok || m.host.Name == "" {
		return state.Host{}, false
	}
	host := m.host
	host.Phase = m.phase()
	return host, true
}

// PhaseOf returns the phase of a host. A host that the platform does not list
// is gone.
func (t *Table) PhaseOf(name state.HostName) state.HostPhase {
	host, ok := t.Host(name)
	if !ok {
		return state.HostGone
	}
	return host.Phase
}

// StartSeenAt returns when the current incarnation of a host's node was first
// seen, or the zero time.
func (t *Table) StartSeenAt(name state.HostName) time.Time {
	m, _ := t.members.Get(name)
	return m.incarnationAt
}

// TreeHosts returns the hosts that take part in the push trees: the live and
// suspect ones, except those excluded by damping.
func (t *Table) TreeHosts(now time.Time) []state.Host {
	var hosts []state.Host
	t.members.Range(func(name state.HostName, m member) bool {
		phase := m.phase()
		present := phase == state.HostLive || phase == state.HostSuspect
		if m.host.Name != "" && present && !now.Before(m.damping.until) && name != t.config.Self.Name {
			host := m.host
			host.Phase = phase
			hosts = append(hosts, host)
		}
		return true
	})
	return hosts
}

// Self returns the current update about the local node.
func (t *Table) Self() HostUpdate {
	t.selfMu.Lock()
	defer t.selfMu.Unlock()
	return t.self
}

// NextHeartbeat increments the heartbeat of the local node and returns its
// update.
func (t *Table) NextHeartbeat() HostUpdate {
	t.selfMu.Lock()
	defer t.selfMu.Unlock()
	t.self.Heartbeat++
	return t.self
}

// Leave marks the local node as leaving, which can't be undone, and returns its
// update.
func (t *Table) Leave() HostUpdate {
	t.selfMu.Lock()
	defer t.selfMu.Unlock()
	t.self.Heartbeat++
	t.self.Phase = state.HostLeaving
	return t.self
}
