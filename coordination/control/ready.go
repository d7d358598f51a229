package control

import (
	"fmt"
	"sync"
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// readiness decides whether a node answers callers. A node that has just
// started or was paused first hears from peers, so that it does not go by an
// older configuration than the fleet.
type readiness struct {
	mu sync.Mutex
	// waitingSince is when the node started or was resumed.
	waitingSince time.Time
	ready        bool
	sourceHeard  bool
	peersHeard   map[state.HostName]struct{}
	// wasReady says that the node was ready before it was paused.
	wasReady bool
}

// readinessInput is what the decision depends on beside what was heard.
type readinessInput struct {
	judged state.TicketNumber
	// highest is the largest number that a connected peer has judged.
	highest state.TicketNumber
	// others is the number of other hosts that take part.
	others int
	// hostListKnown says that others is from a host list.
	hostListKnown bool
	wantedPeers   int
	// wholeSource says that one answer of the source is enough to go by.
	wholeSource bool
	timeout     time.Duration
}

func (r *readiness) started(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.waitingSince.IsZero() {
		r.waitingSince = now
	}
}

func (r *readiness) resumed(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waitingSince = now
	r.wasReady = r.wasReady || r.ready
	r.ready = false
	r.sourceHeard = false
	r.peersHeard = nil
}

func (r *readiness) heardSource() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sourceHeard = true
}

// heardPeer counts different peers, as far as they matter.
func (r *readiness) heardPeer(host state.HostName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ready {
		return
	}
	if r.peersHeard == nil {
		r.peersHeard = make(map[state.HostName]struct{})
	}
	r.peersHeard[host] = struct{}{}
}

func (r *readiness) isReady() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ready
}

func (r *readiness) decide(now time.Time, input readinessInput) (bool, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if reason := r.missing(now, input); reason != "" {
		return false, reason
	}
	r.ready = true
	r.peersHeard = nil
	return true, ""
}

// missing returns what the node still waits for, or "".
func (r *readiness) missing(now time.Time, input readinessInput) string {
	if input.judged == 0 {
		return "no configuration yet"
	}
	if !r.waitingSince.IsZero() && now.Sub(r.waitingSince) >= input.timeout {
		return ""
	}
	if input.wholeSource && r.sourceHeard && input.hostListKnown {
		return ""
	}
	if input.judged < input.highest {
		return fmt.Sprintf("at ticket %d while a peer is at %d", input.judged, input.highest)
	}
	if !input.hostListKnown {
		return "no host list yet"
	}
	wanted := min(input.wantedPeers, input.others)
	if r.wasReady {
		wanted = min(1, input.others)
	}
	if heard := len(r.peersHeard); heard < wanted {
		return fmt.Sprintf("heard from %d of %d peers", heard, wanted)
	}
	if input.others == 0 && !r.sourceHeard {
		return "the source has not answered yet"
	}
	return ""
}

// Ready reports whether this node may answer callers, and otherwise what it
// waits for. A node that has a configuration becomes ready when it is as far
// as enough peers, or after ReadyTimeout with what it has.
func (p *Plane) Ready(now time.Time) (bool, string) {
	if p.readiness.isReady() {
		return true, ""
	}
	others := -1
	for _, hosts := range p.zonesOfHosts() {
		others += hosts
	}
	return p.readiness.decide(now, readinessInput{
		judged:        p.Version().Evaluated,
		highest:       p.peers.highest(),
		others:        others,
		hostListKnown: p.members.List().Version > 0,
		wantedPeers:   p.config.ReadyPeers,
		timeout:       p.config.ReadyTimeout,
		wholeSource:   p.config.FullStateSource,
	})
}
