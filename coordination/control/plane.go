// Package control implements the control plane of a node. It decides when to
// read the source, which messages to send to which peer and which hosts take
// part, so that every node reaches the state of the latest accepted ticket. The
// individual decisions are made in packages such as membership, dissemination,
// sourcereading and fleetstatus.
package control

import (
	"math/rand/v2"
	"time"

	"github.com/wasabiport/wasabiport/coordination/dissemination"
	"github.com/wasabiport/wasabiport/coordination/fleetstatus"
	"github.com/wasabiport/wasabiport/coordination/membership"
	"github.com/wasabiport/wasabiport/coordination/sourcereading"
	"github.com/wasabiport/wasabiport/state"
)

// Plane is the control plane of one node. It is safe for concurrent use. Its
// methods never block on I/O; the caller carries out the returned Output.
//
// A plane has no lock of its own. Each of its parts keeps its state in shards
// under their own locks and is called with no lock held.
type Plane struct {
	config          Config
	snapshots       *state.SnapshotStore
	log             *state.TicketLog
	diffs           *diffHistory
	members         *membership.Table
	peers           *peerTable
	links           *dissemination.Links
	ticketReads     *sourcereading.Scheduler
	hostListReads   *sourcereading.Scheduler
	status          *fleetstatus.Collector
	cursor          *readCursor
	pendingRequests *pendingRequests
	expiredServers  *expiredServers
	schedule        *schedule
	readiness       *readiness
}

// NewPlane returns a plane without tickets and with the local host only.
func NewPlane(config Config, snapshots *state.SnapshotStore, random *rand.Rand) *Plane {
	config = config.withDefaults()
	return &Plane{
		config:          config,
		snapshots:       snapshots,
		log:             state.NewTicketLog(config.TicketLogBytes),
		diffs:           &diffHistory{},
		members:         membership.NewTable(config.membership()),
		peers:           newPeerTable(),
		links:           dissemination.NewLinks(config.links(), fork(random)),
		ticketReads:     sourcereading.NewScheduler(config.ticketReading(), fork(random)),
		hostListReads:   sourcereading.NewScheduler(config.hostListReading(), fork(random)),
		status:          fleetstatus.NewCollector(statusRetentionIntervals * config.StatusInterval),
		cursor:          &readCursor{},
		pendingRequests: &pendingRequests{},
		expiredServers:  newExpiredServers(config.ExpiryGrace),
		schedule:        newSchedule(config, fork(random)),
		readiness:       &readiness{},
	}
}

// fork returns an independent random source for a part under another lock.
func fork(random *rand.Rand) *rand.Rand {
	return rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
}

// Receive processes a message from a peer.
func (p *Plane) Receive(now time.Time, from state.HostName, message Message) Output {
	output := p.detectPause(now)
	p.peers.recordReceipt(now, from)
	p.readiness.recordPeer(from)
	switch message := message.(type) {
	case Offer:
		p.handleOffer(now, &output, from, message)
	case Tickets:
		p.addTickets(now, &output, from, message.Tickets)
	case TicketsRequest:
		p.handleTicketsRequest(&output, from, message)
	case Snapshot:
		p.applySnapshot(now, &output, from, message)
	case SnapshotDiff:
		p.receiveDiff(now, &output, from, message.Diff)
	case HostUpdates:
		p.applyMergeResult(&output, from, p.members.Merge(now, message.Updates))
	case HostList:
		p.receiveHostList(now, &output, from, message.List)
	case HostListRequest:
		p.handleHostListRequest(now, &output, from, message.Have)
	case HostListChanges:
		p.applyHostListChanges(now, &output, from, message.Changes)
	case DrainedZones:
		p.applyDrainedZones(&output, from, message.Zones)
	case SubtreeStatus:
		p.recordSubtreeStatus(now, from, message)
	case FleetStatus:
		p.recordFleetStatus(now, message)
	case CrashNotices:
		p.handleCrashNotices(now, &output, from, message)
	}
	return output
}

// Connected records that a session with a peer was opened and returns the first
// messages to it.
func (p *Plane) Connected(now time.Time, host state.HostName) Output {
	p.peers.addSession(now, host)
	var output Output
	output.send(host, p.offer(now))
	p.sendCrashNotices(now, &output, host)
	return output
}

// Disconnected records that a session with a peer was closed.
func (p *Plane) Disconnected(_ time.Time, host state.HostName) Output {
	p.peers.removeSession(host)
	return Output{}
}

// Leave announces that the local node accepts no more work. It can't be undone.
func (p *Plane) Leave(now time.Time) Output {
	var output Output
	p.broadcast(&output, HostUpdates{Updates: []HostUpdate{p.members.Leave()}}, "")
	p.rebuildTrees(now)
	return output
}

// Version returns the version of the configuration in force.
func (p *Plane) Version() Version { return p.snapshots.Load().Version() }

// NewestOffered returns the latest ticket that a connected peer has evaluated, 0
// without peers.
func (p *Plane) NewestOffered() state.TicketNumber { return p.peers.highestEvaluated() }

// Host returns the state of a host.
func (p *Plane) Host(name state.HostName) (state.Host, bool) { return p.members.Host(name) }

// HostCount returns the number of hosts in the host list, at least 1 for the
// local host.
func (p *Plane) HostCount() int { return max(1, len(p.members.List().Hosts)) }

// PhaseOf returns the phase of a host. Unlisted hosts are gone.
func (p *Plane) PhaseOf(name state.HostName) state.HostPhase { return p.members.PhaseOf(name) }

// StartSeenAt returns when the current incarnation of a host's node was first
// seen, or the zero time.
func (p *Plane) StartSeenAt(name state.HostName) time.Time { return p.members.StartSeenAt(name) }

// RegionOf returns the region of a host, or false if the host is not listed.
func (p *Plane) RegionOf(name state.HostName) (state.Region, bool) {
	host, ok := p.members.Host(name)
	return host.Region, ok
}

// WantedPeers returns the hosts to which the transport keeps a control session.
// A session that the other side has opened is sufficient. The result may change
// with every call to the plane.
func (p *Plane) WantedPeers() []state.Host {
	now := p.schedule.lastTick()
	var wanted []state.Host
	for _, name := range p.links.Wanted(now, p.config.Self.Name, p.peers.sessions()) {
		if host, ok := p.members.Host(name); ok {
			wanted = append(wanted, host)
		}
	}
	return wanted
}

// broadcast sends a message to all connected peers except one.
func (p *Plane) broadcast(output *Output, message Message, except state.HostName) {
	for _, name := range p.peers.names() {
		if name != except {
			output.send(name, message)
		}
	}
}
