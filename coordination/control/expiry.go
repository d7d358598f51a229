package control

import (
	"slices"
	"sync"
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// expiredServers retains backend servers whose registrations may have expired
// during an outage of the source, to give them time to register again. It
// retains only those that were missing from the first answer after the outage;
// a backend server that disappears later has unregistered.
type expiredServers struct {
	grace time.Duration

	mu sync.Mutex
	// sourceFailed is true if the latest read of the host list failed.
	sourceFailed bool
	failedAt     time.Time
	// graceEnd is the end of the grace period after an outage of the source or
	// after the first list that the node has read.
	graceEnd time.Time
	// retained are the backend servers that the source does not list. They stay
	// in force until the first read after graceEnd.
	retained []state.BackendServer
	// afterStart is true if the node has read its first list and the list has
	// registrations. Until graceEnd, further ones may be missing from it.
	afterStart bool
	// recheckAt is when the source must be read again; zero if there is no
	// need.
	recheckAt time.Time
}

func newExpiredServers(grace time.Duration) *expiredServers { return &expiredServers{grace: grace} }

// recordReadFailure records that a read of the host list failed.
func (e *expiredServers) recordReadFailure(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sourceFailed = true
	e.failedAt = now
}

// recordPeerConfirmation records the time at which the source confirmed the list of
// a peer, which is the same as the local one. If that is after the latest failure,
// the local list shows which registrations have expired since.
func (e *expiredServers) recordPeerConfirmation(at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if at.After(e.failedAt) {
		e.sourceFailed = false
	}
}

// reconcile returns the list to use after an answer of the source: the source's
// list plus the known backend servers whose registrations may have expired.
// Uncertain is true if it has started to retain some; the caller then requests
// the lists of the peers.
func (e *expiredServers) reconcile(now time.Time, known, list state.HostList) (effective state.HostList, uncertain bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recheckAt = time.Time{}
	switch {
	case known.Version == 0:
		e.afterStart = len(list.Registered) > 0
		e.graceEnd = now.Add(e.grace)
	case e.sourceFailed:
		e.retained = known.Registered
		e.graceEnd = now.Add(e.grace)
	default:
	}
	recovered := e.sourceFailed
	e.sourceFailed = false
	e.retained = without(e.retained, list.Registered)
	if !now.Before(e.graceEnd) {
		e.retained = nil
	}
	if len(e.retained) == 0 {
		return list, false
	}
	e.recheckAt = e.graceEnd
	return withRetained(list, e.retained, known.Hosts), recovered
}

// without returns the backend servers that are not among others.
func without(servers, others []state.BackendServer) []state.BackendServer {
	names := make(map[state.BackendServerName]bool, len(others))
	for _, other := range others {
		names[other.Name] = true
	}
	return slices.DeleteFunc(slices.Clone(servers), func(server state.BackendServer) bool { return names[server.Name] })
}

// withRetained adds backend servers and their hosts to a list. It gives the
// result a lower version than the source's list, so that the source's list
// replaces it later.
func withRetained(list state.HostList, retained []state.BackendServer, hosts []state.Host) state.HostList {
	merged := state.HostList{
		Version:    list.Version - 1,
		Registered: append(slices.Clone(list.Registered), retained...),
		Hosts:      slices.Clone(list.Hosts),
	}
	missing := make(map[state.HostName]bool)
	for _, server := range retained {
		missing[server.Host] = true
	}
	for _, host := range list.Hosts {
		delete(missing, host.Name)
	}
	for _, host := range hosts {
		if missing[host.Name] {
			merged.Hosts = append(merged.Hosts, host)
		}
	}
	return merged
}

// applyPeerList drops retained backend servers that are missing from the list
// of a peer whose reads of the source did not fail. The source is then read
// again at once.
func (e *expiredServers) applyPeerList(now time.Time, list state.HostList) {
	e.mu.Lock()
	defer e.mu.Unlock()
	unregistered := without(e.retained, list.Registered)
	if len(unregistered) == 0 {
		return
	}
	e.retained = without(e.retained, unregistered)
	e.recheckAt = now
}

// isProvisional reports whether the list in use may differ from the source's, or
// from what the source will list soon. A provisional list is not sent to peers.
func (e *expiredServers) isProvisional(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.isRetaining() || e.afterStart && now.Before(e.graceEnd)
}

// retains reports whether the list in use has backend servers that the source does
// not list.
func (e *expiredServers) retains() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.isRetaining()
}

func (e *expiredServers) isRetaining() bool { return !e.recheckAt.IsZero() }

// recheckTime returns when the source must be read again. Due is false if there
// is no need.
func (e *expiredServers) recheckTime() (at time.Time, due bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.recheckAt, !e.recheckAt.IsZero()
}
