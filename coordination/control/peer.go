package control

import (
	"slices"
	"time"

	"github.com/wasabiport/wasabiport/coordination/dissemination"
	"github.com/wasabiport/wasabiport/state"
)

// peer is the state of the sessions with another node.
type peer struct {
	// sessions counts the open control sessions.
	sessions       int
	lastReceivedAt time.Time
	// version is the latest version that the peer has offered.
	version Version
	// acceptsDiffs is true if the peer has said so in its latest offer.
	acceptsDiffs bool
	// acceptsDrainedZones is the same for the drained zones, and drainedZones the
	// latest version of them that the peer has offered.
	acceptsDrainedZones bool
	drainedZones        uint64
}

// peerTable holds the connected peers in shards by host.
type peerTable struct {
	peers *state.ShardedMap[state.HostName, peer]
}

func newPeerTable() *peerTable {
	return &peerTable{peers: state.NewShardedMap[state.HostName, peer](state.DefaultShardCount)}
}

func (t *peerTable) addSession(now time.Time, host state.HostName) {
	t.peers.Update(host, func(p peer, _ bool) (peer, bool) {
		p.sessions++
		p.lastReceivedAt = now
		return p, true
	})
}

func (t *peerTable) removeSession(host state.HostName) {
	t.peers.Update(host, func(p peer, _ bool) (peer, bool) {
		p.sessions--
		return p, p.sessions > 0
	})
}

func (t *peerTable) isConnected(host state.HostName) bool {
	_, ok := t.peers.Get(host)
	return ok
}

// recordReceipt stores the time of a message. It ignores a message that arrives
// before addSession has been called for its session.
func (t *peerTable) recordReceipt(now time.Time, host state.HostName) {
	t.peers.Update(host, func(p peer, present bool) (peer, bool) {
		p.lastReceivedAt = now
		return p, present
	})
}

// recordVersion stores the version that a peer has.
func (t *peerTable) recordVersion(host state.HostName, version Version) {
	t.peers.Update(host, func(p peer, present bool) (peer, bool) {
		p.version = version
		return p, present
	})
}

// recordOffer stores what a peer has offered.
func (t *peerTable) recordOffer(host state.HostName, offer Offer) {
	t.peers.Update(host, func(p peer, present bool) (peer, bool) {
		p.version = offer.Version
		p.acceptsDiffs = offer.AcceptsDiffs
		p.acceptsDrainedZones = offer.AcceptsDrainedZones
		p.drainedZones = offer.DrainedZonesVersion
		return p, present
	})
}

func (t *peerTable) acceptsDiffs(host state.HostName) bool {
	p, _ := t.peers.Get(host)
	return p.acceptsDiffs
}

func (t *peerTable) acceptsDrainedZones(host state.HostName) bool {
	p, _ := t.peers.Get(host)
	return p.acceptsDrainedZones
}

// resetSilenceTimers restarts the silence timers of all peers.
func (t *peerTable) resetSilenceTimers(now time.Time) {
	for _, name := range t.names() {
		t.recordReceipt(now, name)
	}
}

// names returns the connected peers, sorted by name.
func (t *peerTable) names() []state.HostName {
	var names []state.HostName
	t.peers.Range(func(name state.HostName, _ peer) bool {
		names = append(names, name)
		return true
	})
	slices.Sort(names)
	return names
}

// sessions returns the session state of each peer for package dissemination.
func (t *peerTable) sessions() map[state.HostName]dissemination.Session {
	sessions := make(map[state.HostName]dissemination.Session)
	t.peers.Range(func(name state.HostName, p peer) bool {
		sessions[name] = dissemination.Session{Connected: true, LastReceivedAt: p.lastReceivedAt}
		return true
	})
	return sessions
}

// highestEvaluated returns the largest ticket number that a connected peer has
// evaluated.
func (t *peerTable) highestEvaluated() state.TicketNumber {
	var highestEvaluated state.TicketNumber
	t.peers.Range(func(_ state.HostName, p peer) bool {
		highestEvaluated = max(highestEvaluated, p.version.Evaluated)
		return true
	})
	return highestEvaluated
}

// newestDrainedZones returns the highest version of the drained zones that a connected
// peer has offered.
func (t *peerTable) newestDrainedZones() uint64 {
	var newest uint64
	t.peers.Range(func(_ state.HostName, p peer) bool {
		newest = max(newest, p.drainedZones)
		return true
	})
	return newest
}
