package control

import (
	"sync"
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// lapses keeps backend servers whose registration has run out while the source
// was away, until they have had the time to register again.
type lapses struct {
	grace time.Duration

	mu sync.Mutex
	// away says that the latest read of the host list failed.
	away bool
	// until is the end of the grace after the return of the source.
	until time.Time
	// recheck says that the source has to be read again at until, because
	// some registrations are kept that it does not have.
	recheck bool
}

func newLapses(grace time.Duration) *lapses { return &lapses{grace: grace} }

// failed tells that a read of the host list failed.
func (l *lapses) failed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.away = true
}

// answered returns the list to go by after the source has answered: the
// source's, with the backend servers of known that may only have lapsed.
func (l *lapses) answered(now time.Time, known, list state.HostList) state.HostList {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.away {
		l.away = false
		l.until = now.Add(l.grace)
	}
	if !now.Before(l.until) {
		l.recheck = false
		return list
	}
	kept := withLapsed(known, list)
	if len(kept.Registered) > len(list.Registered) {
		l.recheck = true
	}
	return kept
}

// holds reports whether the list in force has backend servers that the source
// does not. Such a list is this node's own guess and goes to no peer.
func (l *lapses) holds() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.recheck
}

// recheckAt returns when the source has to be read anew, if it has to.
func (l *lapses) recheckAt() (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.until, l.recheck
}

// withLapsed adds the backend servers that list lacks, and their hosts.
func withLapsed(known, list state.HostList) state.HostList {
	registered := make(map[state.BackendServerName]bool, len(list.Registered))
	for _, server := range list.Registered {
		registered[server.Name] = true
	}
	hosts := make(map[state.HostName]bool, len(list.Hosts))
	for _, host := range list.Hosts {
		hosts[host.Name] = true
	}
	kept := list
	for _, server := range known.Registered {
		if !registered[server.Name] {
			kept.Registered = append(kept.Registered[:len(kept.Registered):len(kept.Registered)], server)
		}
	}
	for _, host := range known.Hosts {
		if !hosts[host.Name] {
			kept.Hosts = append(kept.Hosts[:len(kept.Hosts):len(kept.Hosts)], host)
		}
	}
	return kept
}
