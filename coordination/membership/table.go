package membership

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// unlistedRetention is how long a host is remembered that was seen but is not
// in the platform's list.
const unlistedRetention = 5 * time.Minute

// Config holds the settings of a Table.
type Config struct {
	// Self is this node's host.
	Self state.Host
	// Incarnation is the start time of this node in nanoseconds since 1970.
	Incarnation uint64
	// SilenceTimeout is the silence after which a direct sight of a host
	// says nothing any more. A smaller value finds failures sooner and takes
	// short pauses for failures.
	SilenceTimeout time.Duration
	// SuspicionTimeout is how long a suspect host has to be heard of again
	// before it is gone.
	SuspicionTimeout time.Duration
}

// Table holds what a node knows of all hosts. Hosts lie in shards, each under
// its own lock; the host list and this node's own state have one each.
type Table struct {
	config  Config
	members *state.ShardedMap[state.HostName, member]
	// generation grows with each change of a phase or of the list.
	generation atomic.Uint64

	listMu sync.Mutex
	list   state.HostList

	selfMu sync.Mutex
	self   HostUpdate
}

// NewTable returns a table that knows only this node's own host.
func NewTable(config Config) *Table {
	table := &Table{
		config:  config,
		members: state.NewShardedMap[state.HostName, member](state.DefaultShardCount),
		self:    HostUpdate{Host: config.Self.Name, Incarnation: config.Incarnation, Phase: state.HostLive},
	}
	table.generation.Store(1)
	return table
}

// Generation returns a number that grows with each change of a phase or of
// the host list.
func (t *Table) Generation() uint64 { return t.generation.Load() }

// List returns the latest host list. The caller must not change its hosts.
func (t *Table) List() state.HostList {
	t.listMu.Lock()
	defer t.listMu.Unlock()
	return t.list
}

// ApplyList takes a host list and returns the changes from the one before. It
// returns false when the list is not newer.
func (t *Table) ApplyList(now time.Time, list state.HostList) (Changes, bool) {
	old, newer := t.replaceList(list)
	if !newer {
		return Changes{}, false
	}
	changes := Diff(old, list)
	for _, host := range list.Hosts {
		t.members.Update(host.Name, func(m member, _ bool) (member, bool) {
			return m.listed(now, host), true
		})
	}
	for _, name := range changes.Remove {
		t.members.Delete(name)
	}
	t.members.RemoveIf(func(_ state.HostName, m member) bool {
		return m.host.Name == "" && now.Sub(m.heardAt) > unlistedRetention
	})
	t.generation.Add(1)
	return changes, true
}

func (t *Table) replaceList(list state.HostList) (state.HostList, bool) {
	t.listMu.Lock()
	defer t.listMu.Unlock()
	old := t.list
	if list.Version <= old.Version {
		return old, false
	}
	t.list = list
	return old, true
}

// Host returns a host as the platform lists it, with the phase that direct
// sight has corrected.
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

// StartSeenAt returns when the present incarnation of a host's node was first
// heard of; zero when none was.
func (t *Table) StartSeenAt(name state.HostName) time.Time {
	m, _ := t.members.Get(name)
	return m.incarnationAt
}

// TreeHosts returns the hosts that take part in the push trees: those that are
// live or suspect and have not come and gone lately.
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

// Self returns what this node says about itself.
func (t *Table) Self() HostUpdate {
	t.selfMu.Lock()
	defer t.selfMu.Unlock()
	return t.self
}

// NextHeartbeat counts one announcement of this node and returns it.
func (t *Table) NextHeartbeat() HostUpdate {
	t.selfMu.Lock()
	defer t.selfMu.Unlock()
	t.self.Heartbeat++
	return t.self
}

// Leave marks this node as leaving, which is final, and returns the
// announcement.
func (t *Table) Leave() HostUpdate {
	t.selfMu.Lock()
	defer t.selfMu.Unlock()
	t.self.Heartbeat++
	t.self.Phase = state.HostLeaving
	return t.self
}
