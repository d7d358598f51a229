package control

import (
	"slices"
	"time"

	"github.com/wasabiport/wasabiport/coordination/dissemination"
	"github.com/wasabiport/wasabiport/state"
)

// peer is what a node knows of its sessions with another node.
type peer struct {
	// sessions counts the open control sessions.
	sessions int
	heardAt  time.Time
	// head is the peer's latest head that was heard of.
	head Version
}

// peerTable holds the connected peers in shards by host.
type peerTable struct {
	peers *state.ShardedMap[state.HostName, peer]
}

func newPeerTable() *peerTable {
	return &peerTable{peers: state.NewShardedMap[state.HostName, peer](state.DefaultShardCount)}
}

func (t *peerTable) connected(now time.Time, host state.HostName) {
	t.peers.Update(host, func(p peer, _ bool) (peer, bool) {
		p.sessions++
		p.heardAt = now
		return p, true
	})
}

func (t *peerTable) disconnected(host state.HostName) {
	t.peers.Update(host, func(p peer, _ bool) (peer, bool) {
		p.sessions--
		return p, p.sessions > 0
	})
}

func (t *peerTable) isConnected(host state.HostName) bool {
	_, ok := t.peers.Get(host)
	return ok
}

// heard notes the time of a message. A message that overtook the news of its
// session is not noted.
func (t *peerTable) heard(now time.Time, host state.HostName) {
	t.peers.Update(host, func(p peer, present bool) (peer, bool) {
		p.heardAt = now
		return p, present
	})
}

// offered notes how far a peer has come.
func (t *peerTable) offered(host state.HostName, head Version) {
	t.peers.Update(host, func(p peer, present bool) (peer, bool) {
		p.head = head
		return p, present
	})
}

// allHeard restarts the silence timers of all peers.
func (t *peerTable) allHeard(now time.Time) {
	for _, name := range t.names() {
		t.heard(now, name)
	}
}

// names returns the connected peers in a fixed order.
func (t *peerTable) names() []state.HostName {
	var names []state.HostName
	t.peers.Range(func(name state.HostName, _ peer) bool {
		names = append(names, name)
		return true
	})
	slices.Sort(names)
	return names
}

// sessions returns what package dissemination needs of each peer.
func (t *peerTable) sessions() map[state.HostName]dissemination.Session {
	sessions := make(map[state.HostName]dissemination.Session)
	t.peers.Range(func(name state.HostName, p peer) bool {
		sessions[name] = dissemination.Session{Connected: true, LastReceivedAt: p.heardAt}
		return true
	})
	return sessions
}

// highest returns the largest ticket number that a connected peer has judged.
func (t *peerTable) highest() state.TicketNumber {
	var highest state.TicketNumber
	t.peers.Range(func(_ state.HostName, p peer) bool {
		highest = max(highest, p.head.Evaluated)
		return true
	})
	return highest
}
