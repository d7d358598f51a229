package control

import (
	"fmt"
	"sync"
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// readiness decides whether a node serves callers. After a start or a pause, a
// node first waits for messages from peers, so that it does not serve with an
// older configuration than the rest of the fleet.
type readiness struct {
	mu sync.Mutex
	// waitingSince is when the node started or resumed.
	waitingSince   time.Time
	ready          bool
	sourceAnswered bool
	respondedPeers map[state.HostName]struct{}
	// wasReady is true if the node was ready before it was paused.
	wasReady bool
}

// readinessInput is the state outside of readiness that the decision depends
// on.
type readinessInput struct {
	evaluated state.TicketNumber
	// highestEvaluated is the largest ticket number that a connected peer has
	// evaluated.
	highestEvaluated state.TicketNumber
	// drainedZones is the version of the drained zones, and newestDrainedZones the
	// highest one that a connected peer has offered.
	drainedZones, newestDrainedZones uint64
	// others is the number of other hosts that take part.
	others int
	// hostListKnown is true if others was counted from a host list.
	hostListKnown bool
	wantedPeers   int
	// fullStateSource is true if one answer of the source is sufficient to
	// serve.
	fullStateSource bool
	timeout         time.Duration
}

func (r *readiness) recordStart(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.waitingSince.IsZero() {
		r.waitingSince = now
	}
}

func (r *readiness) recordResume(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waitingSince = now
	r.wasReady = r.wasReady || r.ready
	r.ready = false
	r.sourceAnswered = false
	r.respondedPeers = nil
}

func (r *readiness) recordSourceAnswer() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sourceAnswered = true
}

// recordPeer adds a peer to the set of peers that have sent a message, until
// the node is ready.
func (r *readiness) recordPeer(host state.HostName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ready {
		return
	}
	if r.respondedPeers == nil {
		r.respondedPeers = make(map[state.HostName]struct{})
	}
	r.respondedPeers[host] = struct{}{}
}

func (r *readiness) isReady() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ready
}

// decide reports whether the node may serve callers, and otherwise what it waits
// for.
func (r *readiness) decide(now time.Time, input readinessInput) (bool, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if reason := r.waitReason(now, input); reason != "" {
		return false, reason
	}
	r.ready = true
	r.respondedPeers = nil
	return true, ""
}

// waitReason returns what the node still waits for, or "".
func (r *readiness) waitReason(now time.Time, input readinessInput) string {
	if input.evaluated == 0 {
		return "no configuration yet"
	}
	if !r.waitingSince.IsZero() && now.Sub(r.waitingSince) >= input.timeout {
		return ""
	}
	if input.drainedZones < input.newestDrainedZones {
		return "a peer has newer drained availability zones"
	}
	if input.fullStateSource && r.sourceAnswered && input.hostListKnown {
		return ""
	}
	if input.evaluated < input.highestEvaluated {
		return fmt.Sprintf("at ticket %d while a peer is at %d", input.evaluated, input.highestEvaluated)
	}
	if !input.hostListKnown {
		return "no host list yet"
	}
	wanted := min(input.wantedPeers, input.others)
	if r.wasReady {
		wanted = min(1, input.others)
	}
	if responded := len(r.respondedPeers); responded < wanted {
		return fmt.Sprintf("heard from %d of %d peers", responded, wanted)
	}
	if input.others == 0 && !r.sourceAnswered {
		return "the source has not answered yet"
	}
	return ""
}

// Ready reports whether the local node may serve callers, and otherwise what it
// waits for. A node that has a configuration becomes ready when it has caught
// up with enough peers, or after ReadyTimeout with the configuration it has.
func (p *Plane) Ready(now time.Time) (bool, string) {
	if p.readiness.isReady() {
		return true, ""
	}
	others := -1
	for _, hosts := range p.hostsPerZone() {
		others += hosts
	}
	return p.readiness.decide(now, readinessInput{
		evaluated:        p.Version().Evaluated,
		highestEvaluated: p.peers.highestEvaluated(),

		drainedZones:       p.DrainedZones().Version(),
		newestDrainedZones: p.peers.newestDrainedZones(),

		others:          others,
		hostListKnown:   p.members.List().Version > 0,
		wantedPeers:     p.config.ReadyPeers,
		timeout:         p.config.ReadyTimeout,
		fullStateSource: p.config.FullStateSource,
	})
}
