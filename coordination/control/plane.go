// Package control decides how the nodes of the fleet reach the state of the
// latest accepted ticket: when to read the source, what to tell which peer,
// and which hosts take part. It joins the parts that decide each of these.
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

// Plane is the control plane's part in one node. It is safe for use by many
// threads. Its methods never block on I/O; the caller carries out the Output.
//
// A plane has no lock of its own. Each part keeps its state in shards under
// their own locks and is called with no lock held.
type Plane struct {
	config    Config
	snapshots *state.SnapshotStore
	log       *state.TicketLog
	members   *membership.Table
	peers     *peerTable
	links     *dissemination.Links
	tickets   *sourcereading.Scheduler
	hostLists *sourcereading.Scheduler
	status    *fleetstatus.Collector
	cursor    *readCursor
	inquiries *inquiries
	lapses    *lapses
	schedule  *schedule
	readiness *readiness
}

// NewPlane returns a plane that knows no tickets and no hosts.
func NewPlane(config Config, snapshots *state.SnapshotStore, random *rand.Rand) *Plane {
	config = config.withDefaults()
	return &Plane{
		config:    config,
		snapshots: snapshots,
		log:       state.NewTicketLog(config.TicketLogBytes),
		members:   membership.NewTable(config.membership()),
		peers:     newPeerTable(),
		links:     dissemination.NewLinks(config.links(), fork(random)),
		tickets:   sourcereading.NewScheduler(config.sourceReading(config.TicketWatchPause), fork(random)),
		hostLists: sourcereading.NewScheduler(config.sourceReading(config.HostListWatchPause), fork(random)),
		status:    fleetstatus.NewCollector(statusRetention * config.StatusInterval),
		cursor:    &readCursor{},
		inquiries: &inquiries{},
		lapses:    newLapses(config.ExpiryGrace),
		schedule:  newSchedule(config, fork(random)),
		readiness: &readiness{},
	}
}

// fork returns a random source of its own for a part under another lock.
func fork(random *rand.Rand) *rand.Rand {
	return rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
}

// Receive takes a message from a peer.
func (p *Plane) Receive(now time.Time, from state.HostName, message Message) Output {
	output := p.noticePause(now)
	p.peers.heard(now, from)
	p.readiness.heardPeer(from)
	switch message := message.(type) {
	case Offer:
		p.takeOffer(now, &output, from, message)
	case Tickets:
		p.takeTickets(now, &output, from, message.Tickets)
	case TicketsRequest:
		p.answerRequest(&output, from, message.After)
	case Snapshot:
		p.takeSnapshot(now, &output, from, message)
	case HostUpdates:
		p.takeMerged(&output, from, p.members.Merge(now, message.Updates))
	case HostList:
		p.takePeersHostList(now, &output, from, message.List)
	case HostListRequest:
		p.answerHostListRequest(now, &output, from, message.Have)
	case HostListChanges:
		p.takeHostListChanges(now, &output, from, message.Changes)
	case SubtreeStatus:
		p.takeSubtreeStatus(now, from, message)
	case FleetStatus:
		p.takeFleetStatus(now, message)
	case CrashNotices:
		p.takeCrashNotices(now, &output, from, message)
	}
	return output
}

// Connected tells that messages to a peer can be sent from now on.
func (p *Plane) Connected(now time.Time, host state.HostName) Output {
	p.peers.connected(now, host)
	var output Output
	output.send(host, p.offer(now))
	p.tellCrashNotices(now, &output, host)
	return output
}

// Disconnected tells that messages to a peer can't be sent any more.
func (p *Plane) Disconnected(_ time.Time, host state.HostName) Output {
	p.peers.disconnected(host)
	return Output{}
}

// Leave announces that this node takes no more work. It is final.
func (p *Plane) Leave(now time.Time) Output {
	var output Output
	p.spread(&output, HostUpdates{Updates: []HostUpdate{p.members.Leave()}}, "")
	p.redraw(now)
	return output
}

// Version returns how far this node has come.
func (p *Plane) Version() Version { return p.snapshots.Load().Version() }

// Host returns what is known of a host.
func (p *Plane) Host(name state.HostName) (state.Host, bool) { return p.members.Host(name) }

// HostCount returns the number of hosts that are known, this node's own
// included.
func (p *Plane) HostCount() int { return max(1, len(p.members.List().Hosts)) }

// PhaseOf returns the phase of a host. A host that is not known is gone.
func (p *Plane) PhaseOf(name state.HostName) state.HostPhase { return p.members.PhaseOf(name) }

// StartSeenAt returns when this node first heard of the present run of a host's
// node; zero when it has not.
func (p *Plane) StartSeenAt(name state.HostName) time.Time { return p.members.StartSeenAt(name) }

// RegionOf returns the region of a host, or false when the host is not known.
func (p *Plane) RegionOf(name state.HostName) (state.Region, bool) {
	host, ok := p.members.Host(name)
	return host.Region, ok
}

// WantedPeers returns the hosts to which the transport keeps a control
// session. A session that the other side has opened serves as well. The
// result changes with every call to the plane.
func (p *Plane) WantedPeers() []state.Host {
	now := p.schedule.latest()
	var wanted []state.Host
	for _, name := range p.links.Wanted(now, p.config.Self.Name, p.peers.sessions()) {
		if host, ok := p.members.Host(name); ok {
			wanted = append(wanted, host)
		}
	}
	return wanted
}

// spread sends a message to all connected peers but one.
func (p *Plane) spread(output *Output, message Message, except state.HostName) {
	for _, name := range p.peers.names() {
		if name != except {
			output.send(name, message)
		}
	}
}
