package keyowner

import (
	"slices"
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// Membership is the part of the configuration that determines the owner of a
// key.
type Membership struct {
	// Ticket is the number of the latest accepted ticket.
	Ticket state.TicketNumber
	// Servers are the backend servers of the service.
	Servers []state.BackendServerName
	// Age is the minimum time for which other nodes have had the membership in
	// force, or 0 when it is unknown.
	Age time.Duration
	// Serving is set when the local backend server of the guard takes new
	// calls. Otherwise it declines its keys.
	Serving bool
}

// History records at a guard how the membership of the services of its backend
// servers has changed. It is safe for concurrent use and sharded by backend
// server.
type History struct {
	retention time.Duration
	servers   *state.ShardedMap[state.BackendServerName, serverHistory]
}

// serverHistory is the history of one backend server. It is immutable.
type serverHistory struct {
	// ticket is the latest observed ticket.
	ticket  state.TicketNumber
	changes []membershipChange
}

type membershipChange struct {
	at         time.Time
	membership Membership
}

// Query is a query for the ownership of one key.
type Query struct {
	// Self is the local backend server of the guard.
	Self state.BackendServerName
	// Ticket is the latest accepted ticket of the entry node that chose Self.
	Ticket state.TicketNumber
	Key    Key
}

// NewHistory returns a history that retains changes for retention.
func NewHistory(retention time.Duration) *History {
	return &History{
		retention: retention,
		servers:   state.NewShardedMap[state.BackendServerName, serverHistory](state.DefaultShardCount),
	}
}

// ObserveSnapshot records the memberships in snapshot for all backend servers
// on host. It is called when the node starts, for each ticket, and when the
// node begins to leave. age is the minimum time for which other nodes have had
// these memberships in force, or 0 when it is unknown.
func (h *History) ObserveSnapshot(
	now time.Time,
	snapshot *state.Snapshot,
	host state.HostName,
	leaving bool,
	age time.Duration,
) {
	for _, server := range snapshot.ServersOnHost(host) {
		membership := Membership{
			Ticket:  snapshot.Accepted(),
			Age:     age,
			Serving: !leaving && !server.Draining && !snapshot.IsDrained(server.Zone),
		}
		for _, other := range snapshot.BackendServersOf(server.Service) {
			membership.Servers = append(membership.Servers, other.Name)
		}
		h.Observe(now, server.Name, membership)
	}
	for _, removed := range h.missingFrom(snapshot) {
		h.Observe(now, removed, Membership{Ticket: snapshot.Accepted()})
	}
}

// missingFrom returns the backend servers of this guard that are not in
// snapshot. If one of them returns later, others may have run calls with its
// keys in the meantime.
func (h *History) missingFrom(snapshot *state.Snapshot) []state.BackendServerName {
	var missing []state.BackendServerName
	h.servers.Range(func(name state.BackendServerName, _ serverHistory) bool {
		if _, ok := snapshot.BackendServer(name); !ok {
			missing = append(missing, name)
		}
		return true
	})
	return missing
}

// Observe records the membership of the service of the backend server self from
// now on. It is called for each ticket, whether or not the ticket changes the
// membership.
func (h *History) Observe(now time.Time, self state.BackendServerName, membership Membership) {
	h.servers.Update(self, func(previous serverHistory, _ bool) (serverHistory, bool) {
		next := serverHistory{ticket: membership.Ticket, changes: previous.changes}
		if len(previous.changes) == 0 || !previous.latest().equivalent(membership) {
			extended := append(slices.Clone(previous.changes), membershipChange{at: now.Add(-membership.Age), membership: membership})
			next.changes = h.prune(now, extended)
		}
		return next, true
	})
}

// OwnedSince returns the time since which query.Self has been the first server
// asked for the key, or has been asked only after servers that declined it. If
// that has always been the case, it returns the oldest retained time. It
// returns false when query.Self is not asked for the key, or when the entry
// node and the guard use different memberships.
func (h *History) OwnedSince(query Query) (since time.Time, owned bool) {
	history, ok := h.servers.Get(query.Self)
	if !ok {
		return time.Time{}, true
	}
	if query.Ticket > history.ticket || query.Ticket < history.latest().Ticket {
		return time.Time{}, false
	}
	declined := askedBefore(history.latest(), query.Self, query.Key)
	served := false
	for _, change := range slices.Backward(history.changes) {
		// Keys that were declined before the latest period of serving may have
		// run elsewhere.
		declinedEarlier := served && !change.membership.Serving
		if declinedEarlier || !change.membership.owns(query.Self, query.Key, declined) {
			break
		}
		served = served || change.membership.Serving
		since = change.at
		owned = true
	}
	return since, owned
}

func (s serverHistory) latest() Membership { return s.changes[len(s.changes)-1].membership }

// owns reports whether self is asked for key after no servers other than those
// in declined.
func (m Membership) owns(self state.BackendServerName, key Key, declined []state.BackendServerName) bool {
	if !slices.Contains(m.Servers, self) {
		return false
	}
	for _, server := range askedBefore(m, self, key) {
		if !slices.Contains(declined, server) {
			return false
		}
	}
	return true
}

// askedBefore returns the servers that are asked for key before self.
func askedBefore(membership Membership, self state.BackendServerName, key Key) []state.BackendServerName {
	var before []state.BackendServerName
	for _, server := range membership.Servers {
		if server != self && compare(server, self, key) < 0 {
			before = append(before, server)
		}
	}
	return before
}

// prune removes the changes that ended before the retention period, except for
// the one in force at its start.
func (h *History) prune(now time.Time, changes []membershipChange) []membershipChange {
	cutoff := now.Add(-h.retention)
	for len(changes) > 1 && changes[1].at.Before(cutoff) {
		changes = changes[1:]
	}
	return changes
}

func (m Membership) equivalent(other Membership) bool {
	return m.Serving == other.Serving && slices.Equal(m.Servers, other.Servers)
}
