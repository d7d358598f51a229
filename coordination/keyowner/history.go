package keyowner

import (
	"slices"
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// Membership is the part of the configuration that says who owns a key.
type Membership struct {
	// Ticket is the number of the latest accepted ticket.
	Ticket state.TicketNumber
	// Servers are the backend servers of the service.
	Servers []state.BackendServerName
	// Age is how long other nodes are known to have had the membership in
	// force; 0 when nothing is known.
	Age time.Duration
	// Serving says that the guard's own backend server takes new calls. One
	// that does not passes its keys on.
	Serving bool
}

// History remembers at a guard how the membership of the services of its
// backend servers changed. It is safe for use by many threads; backend servers
// are in shards.
type History struct {
	memory  time.Duration
	servers *state.ShardedMap[state.BackendServerName, past]
}

// past is what a guard remembers for one backend server. It is immutable.
type past struct {
	// ticket is the latest ticket that was observed.
	ticket  state.TicketNumber
	changes []change
}

type change struct {
	at         time.Time
	membership Membership
}

// Query asks for the ownership of one key.
type Query struct {
	// Self is the backend server of the guard.
	Self state.BackendServerName
	// Ticket is the latest accepted ticket of the entry node that chose Self.
	Ticket state.TicketNumber
	Key    Key
}

// NewHistory returns a history that goes back as far as memory.
func NewHistory(memory time.Duration) *History {
	return &History{
		memory:  memory,
		servers: state.NewShardedMap[state.BackendServerName, past](state.DefaultShardCount),
	}
}

// ObserveSnapshot notes what snapshot says for all backend servers on host. It
// is called when the node starts, for each ticket, and when the node begins to
// leave. age is how long other nodes are known to have had the memberships of
// snapshot in force; 0 when nothing is known.
func (h *History) ObserveSnapshot(
	now time.Time,
	snapshot *state.Snapshot,
	host state.HostName,
	leaving bool,
	age time.Duration,
) {
	for _, server := range snapshot.Resources().BackendServers {
		if server.Host != host {
			continue
		}
		membership := Membership{
			Ticket:  snapshot.Accepted(),
			Age:     age,
			Serving: !leaving && !server.Draining,
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
// snapshot. When one comes back, others may have run its keys.
func (h *History) missingFrom(snapshot *state.Snapshot) []state.BackendServerName {
	var missing []state.BackendServerName
	h.servers.Range(func(name state.BackendServerName, _ past) bool {
		if _, ok := snapshot.BackendServer(name); !ok {
			missing = append(missing, name)
		}
		return true
	})
	return missing
}

// Observe notes the membership of the service of the backend server self from
// now on. It is called for each ticket, whether it changes the membership or
// not.
func (h *History) Observe(now time.Time, self state.BackendServerName, membership Membership) {
	h.servers.Update(self, func(before past, _ bool) (past, bool) {
		next := past{ticket: membership.Ticket, changes: before.changes}
		if len(before.changes) == 0 || !before.latest().sameAs(membership) {
			added := append(slices.Clone(before.changes), change{at: now.Add(-membership.Age), membership: membership})
			next.changes = h.forget(now, added)
		}
		return next, true
	})
}

// Since returns the time from which the backend server that asks has been
// asked first for the key, or after servers that passed the key on. It returns
// the oldest time that is remembered when it has been all along. It returns
// false when it is not asked for the key, and when the entry node and the
// guard don't know the same membership.
func (h *History) Since(query Query) (since time.Time, owned bool) {
	known, ok := h.servers.Get(query.Self)
	if !ok {
		return time.Time{}, true
	}
	if query.Ticket > known.ticket || query.Ticket < known.latest().Ticket {
		return time.Time{}, false
	}
	passedOn := askedBefore(known.latest(), query.Self, query.Key)
	served := false
	for _, change := range slices.Backward(known.changes) {
		// Keys that were passed on before the latest time of serving may have
		// run elsewhere.
		passedOnBefore := served && !change.membership.Serving
		if passedOnBefore || !change.membership.owns(query.Self, query.Key, passedOn) {
			break
		}
		served = served || change.membership.Serving
		since = change.at
		owned = true
	}
	return since, owned
}

func (p past) latest() Membership { return p.changes[len(p.changes)-1].membership }

// owns reports whether self is asked for key after none but those in passedOn.
func (m Membership) owns(self state.BackendServerName, key Key, passedOn []state.BackendServerName) bool {
	if !slices.Contains(m.Servers, self) {
		return false
	}
	for _, server := range askedBefore(m, self, key) {
		if !slices.Contains(passedOn, server) {
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

// forget drops the changes that were over before the memory began, but for
// the one that was in force then.
func (h *History) forget(now time.Time, changes []change) []change {
	begin := now.Add(-h.memory)
	for len(changes) > 1 && changes[1].at.Before(begin) {
		changes = changes[1:]
	}
	return changes
}

func (m Membership) sameAs(other Membership) bool {
	return m.Serving == other.Serving && slices.Equal(m.Servers, other.Servers)
}
