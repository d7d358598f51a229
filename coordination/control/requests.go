package control

import (
	"sync"
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// requestTimeout is the time after which an unanswered request may be sent to
// another peer.
const requestTimeout = 500 * time.Millisecond

// pendingRequests allows one pending request for tickets and one for the host
// list, so that the same state is not requested from several peers at once.
type pendingRequests struct {
	mu          sync.Mutex
	ticketsAt   time.Time
	hostListAt  time.Time
	ticketLag   lag
	hostListLag lag
}

// sourceGrace is how long a node that watches the source waits for a change
// that a peer already has before it requests the change from the peer.
const sourceGrace = 400 * time.Millisecond

// lag holds a version that is behind a peer's and the time since which the node
// has had it.
type lag struct {
	version uint64
	since   time.Time
}

// persists reports whether the node has been at version for sourceGrace. It
// starts the time again if the version has changed.
func (l *lag) persists(now time.Time, version uint64) bool {
	if l.since.IsZero() || l.version != version {
		l.version, l.since = version, now
	}
	return now.Sub(l.since) >= sourceGrace
}

// ticketLagPersists reports whether the node has been behind its peers at the
// same evaluated ticket for sourceGrace. It should then request the tickets
// instead of waiting for the source.
func (r *pendingRequests) ticketLagPersists(now time.Time, evaluated state.TicketNumber) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ticketLag.persists(now, uint64(evaluated))
}

// hostListLagPersists does the same for the version of the local host list.
func (r *pendingRequests) hostListLagPersists(now time.Time, version uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hostListLag.persists(now, version)
}

func (r *pendingRequests) mayRequestTickets(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return mayRequest(now, &r.ticketsAt)
}

func (r *pendingRequests) mayRequestHostList(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return mayRequest(now, &r.hostListAt)
}

// mayRequest reports whether a request may be sent. If so, it sets requestedAt to
// now, because the caller then sends one.
func mayRequest(now time.Time, requestedAt *time.Time) bool {
	if !requestedAt.IsZero() && now.Sub(*requestedAt) < requestTimeout {
		return false
	}
	*requestedAt = now
	return true
}

// ticketsReceived allows the next request for tickets.
func (r *pendingRequests) ticketsReceived() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ticketsAt = time.Time{}
}

// hostListReceived allows the next request for the host list.
func (r *pendingRequests) hostListReceived() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hostListAt = time.Time{}
}
