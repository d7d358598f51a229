package keyowner

import (
	"slices"
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// Membership is the part of the configuration that says who owns a key.
type Membership struct {
	// Servers are the backend servers of the service.
	Servers []state.BackendServerName
	// Serving says that the guard's own backend server takes new calls. One
	// that does not passes its keys on.
	Serving bool
}

// History remembers at a guard how the membership of services changed. It is
// safe for use by many threads; services are in shards.
type History struct {
	memory   time.Duration
	services *state.ShardedMap[state.ServiceName, []change]
}

type change struct {
	at         time.Time
	membership Membership
}

// NewHistory returns a history that goes back as far as memory.
func NewHistory(memory time.Duration) *History {
	return &History{
		memory:   memory,
		services: state.NewShardedMap[state.ServiceName, []change](state.DefaultShardCount),
	}
}

// Observe notes the membership of a service from now on.
func (h *History) Observe(now time.Time, service state.ServiceName, membership Membership) {
	h.services.Update(service, func(changes []change, _ bool) ([]change, bool) {
		if len(changes) > 0 && equal(changes[len(changes)-1].membership, membership) {
			return changes, true
		}
		// The slice is copied, as Since reads an old one without the lock.
		next := append(slices.Clone(changes), change{at: now, membership: membership})
		return h.forget(now, next), true
	})
}

// Since returns the time from which the backend server self has been asked
// first for key, or after servers that passed the key on. It returns the
// oldest time that is remembered when self has been all along.
func (h *History) Since(service state.ServiceName, self state.BackendServerName, key Key) time.Time {
	changes, _ := h.services.Get(service)
	if len(changes) == 0 {
		return time.Time{}
	}
	passedOn := askedBefore(changes[len(changes)-1].membership, self, key)
	var since time.Time
	for _, change := range slices.Backward(changes) {
		if !change.membership.owns(self, key, passedOn) {
			return since
		}
		since = change.at
	}
	return since
}

// owns reports whether self is asked for key after none but those in passedOn.
func (m Membership) owns(self state.BackendServerName, key Key, passedOn []state.BackendServerName) bool {
	if !m.Serving || !slices.Contains(m.Servers, self) {
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

func equal(a, b Membership) bool {
	return a.Serving == b.Serving && slices.Equal(a.Servers, b.Servers)
}
