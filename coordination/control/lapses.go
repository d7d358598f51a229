package control

import (
	"slices"
	"sync"
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// lapses keeps backend servers whose registration may have run out while the
// source was away, until they have had the time to register again. It keeps
// those alone that were missing when the source came back: what goes later is
// gone.
type lapses struct {
	grace time.Duration

	mu sync.Mutex
	// away says that the latest read of the host list failed.
	away bool
	// until is the end of the grace after the return of the source.
	until time.Time
	// kept are the backend servers that the source does not have. They stay
	// in force until a read after until.
	kept []state.BackendServer
	// starting says that this node has read its first list, and can't tell
	// before until whether registrations are missing from it.
	starting bool
	// recheckAt is when the source has to be read anew; zero when it need not.
	recheckAt time.Time
}

func newLapses(grace time.Duration) *lapses { return &lapses{grace: grace} }

// failed tells that a read of the host list failed.
func (l *lapses) failed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.away = true
}

// answered returns the list to go by after the source has answered: the
// source's, with the backend servers of known that may only have lapsed. It
// reports whether it has begun to keep some, so that peers are to be asked.
func (l *lapses) answered(now time.Time, known, list state.HostList) (goBy state.HostList, doubtful bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recheckAt = time.Time{}
	switch {
	case known.Version == 0:
		l.starting = len(list.Registered) > 0
		l.until = now.Add(l.grace)
	case l.away:
		l.kept = known.Registered
		l.until = now.Add(l.grace)
	default:
	}
	returned := l.away
	l.away = false
	l.kept = without(l.kept, list.Registered)
	if !now.Before(l.until) {
		l.kept = nil
	}
	if len(l.kept) == 0 {
		return list, false
	}
	l.recheckAt = l.until
	return withKept(list, l.kept, known.Hosts), returned
}

// without returns the backend servers that are not among others.
func without(servers, others []state.BackendServer) []state.BackendServer {
	names := make(map[state.BackendServerName]bool, len(others))
	for _, other := range others {
		names[other.Name] = true
	}
	return slices.DeleteFunc(slices.Clone(servers), func(server state.BackendServer) bool { return names[server.Name] })
}

// withKept adds backend servers and their hosts to a list. The list is then
// older than the source's, so that the source's own replaces it later.
func withKept(list state.HostList, kept []state.BackendServer, hosts []state.Host) state.HostList {
	joined := state.HostList{
		Version:    list.Version - 1,
		Registered: append(slices.Clone(list.Registered), kept...),
		Hosts:      slices.Clone(list.Hosts),
	}
	missing := make(map[state.HostName]bool)
	for _, server := range kept {
		missing[server.Host] = true
	}
	for _, host := range list.Hosts {
		delete(missing, host.Name)
	}
	for _, host := range hosts {
		if missing[host.Name] {
			joined.Hosts = append(joined.Hosts, host)
		}
	}
	return joined
}

// compare takes the list of a peer that has heard the source all the time: what
// it lacks is gone, and the source is to be read again at once.
func (l *lapses) compare(now time.Time, list state.HostList) {
	l.mu.Lock()
	defer l.mu.Unlock()
	gone := without(l.kept, list.Registered)
	if len(gone) == 0 {
		return
	}
	l.kept = without(l.kept, gone)
	l.recheckAt = now
}

// guesses reports whether the list in force is this node's own guess, which
// goes to no peer.
func (l *lapses) guesses(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.recheckAt.IsZero() || l.starting && now.Before(l.until)
}

// recheck returns when the source has to be read anew, if it has to.
func (l *lapses) recheck() (at time.Time, due bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.recheckAt, !l.recheckAt.IsZero()
}
