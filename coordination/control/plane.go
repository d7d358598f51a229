// Package control decides how the nodes of the fleet reach the state of the
// latest accepted ticket: when to read the source, what to tell which peer,
// and which hosts take part.
package control

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/wasabiport/wasabiport/coordination/acceptance"
	"github.com/wasabiport/wasabiport/state"
)

// Config holds the settings of a Plane.
type Config struct {
	// Self is this node's host.
	Self state.Host
	// Incarnation is the start time of the node in nanoseconds since 1970.
	Incarnation uint64
	// OfferInterval is the mean time between two offers to a random peer.
	OfferInterval time.Duration
	// SourceRetryInterval is the time between two reads of a source that
	// does not answer.
	SourceRetryInterval time.Duration
}

// Plane is the control plane's part in one node. It is safe for use by many
// threads. Its methods never block on I/O; the caller carries out the Output.
type Plane struct {
	config    Config
	snapshots *state.SnapshotStore
	hosts     *state.ShardedMap[state.HostName, state.Host]

	// mu orders the judging of tickets. Readers of the configuration use
	// snapshots and never take it.
	mu        sync.Mutex
	tickets   map[state.TicketNumber]state.Ticket
	verdicts  map[state.TicketNumber]state.Verdict
	random    *rand.Rand
	nextOffer time.Time
	nextRead  SourceRead
}

// NewPlane returns a plane that knows no tickets and no hosts.
func NewPlane(config Config, snapshots *state.SnapshotStore, random *rand.Rand) *Plane {
	return &Plane{
		config:    config,
		snapshots: snapshots,
		hosts:     state.NewShardedMap[state.HostName, state.Host](state.DefaultShardCount),
		tickets:   make(map[state.TicketNumber]state.Ticket),
		verdicts:  make(map[state.TicketNumber]state.Verdict),
		random:    random,
	}
}

// Receive takes a message from a peer.
func (p *Plane) Receive(now time.Time, from state.HostName, message Message) Output {
	switch message := message.(type) {
	case Tickets:
		return p.takeTickets(message.Tickets, from)
	case Offer:
		return p.answerOffer(from, message.Head)
	case Request:
		return p.answerRequest(from, message.After)
	default:
		return Output{}
	}
}

// Connected tells that messages to a peer can be sent from now on.
func (p *Plane) Connected(now time.Time, host state.HostName) Output {
	return Output{Sends: []Send{{To: host, Message: Offer{Head: p.Head()}}}}
}

// Disconnected tells that messages to a peer can't be sent any more.
func (p *Plane) Disconnected(now time.Time, host state.HostName) Output {
	return Output{}
}

// SourceAnswered takes tickets that were read from the source.
func (p *Plane) SourceAnswered(now time.Time, tickets []state.Ticket) Output {
	output := p.takeTickets(tickets, "")
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nextRead.At = now
	return output
}

// SourceFailed tells that a read of the source failed.
func (p *Plane) SourceFailed(now time.Time) Output {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nextRead.At = now.Add(p.config.SourceRetryInterval)
	return Output{}
}

// HostListAnswered takes the platform's host list.
func (p *Plane) HostListAnswered(now time.Time, list state.HostList) Output {
	for _, host := range list.Hosts {
		p.hosts.Set(host.Name, host)
	}
	return Output{}
}

// NextSourceRead returns when and how to read the source next.
func (p *Plane) NextSourceRead(now time.Time) SourceRead {
	p.mu.Lock()
	defer p.mu.Unlock()
	read := p.nextRead
	read.After = p.snapshots.Load().Judged()
	read.Watch = true
	return read
}

// Tick does what is due. The caller calls it again at the returned time.
func (p *Plane) Tick(now time.Time) (Output, time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.nextOffer) {
		return Output{}, p.nextOffer
	}
	p.nextOffer = now.Add(p.config.OfferInterval)
	peers := p.peers()
	if len(peers) == 0 {
		return Output{}, p.nextOffer
	}
	peer := peers[p.random.IntN(len(peers))]
	return Output{Sends: []Send{{To: peer, Message: Offer{Head: p.Head()}}}}, p.nextOffer
}

// Head returns how far this node has come.
func (p *Plane) Head() Head {
	snapshot := p.snapshots.Load()
	return Head{Judged: snapshot.Judged(), Accepted: snapshot.Accepted(), Digest: snapshot.Digest()}
}

// Host returns what is known of a host.
func (p *Plane) Host(name state.HostName) (state.Host, bool) { return p.hosts.Get(name) }

// PhaseOf returns the phase of a host. A host that is not known is gone.
func (p *Plane) PhaseOf(name state.HostName) state.HostPhase {
	host, ok := p.hosts.Get(name)
	if !ok {
		return state.HostGone
	}
	return host.Phase
}

// WantedPeers returns the hosts to which the transport keeps a session.
func (p *Plane) WantedPeers() []state.Host {
	var wanted []state.Host
	p.hosts.Range(func(name state.HostName, host state.Host) bool {
		if name != p.config.Self.Name {
			wanted = append(wanted, host)
		}
		return true
	})
	return wanted
}

func (p *Plane) peers() []state.HostName {
	var names []state.HostName
	for _, host := range p.WantedPeers() {
		names = append(names, host.Name)
	}
	return names
}

func (p *Plane) takeTickets(tickets []state.Ticket, from state.HostName) Output {
	p.mu.Lock()
	defer p.mu.Unlock()
	var fresh []state.Ticket
	for _, ticket := range tickets {
		if _, known := p.tickets[ticket.Number]; !known {
			p.tickets[ticket.Number] = ticket
			fresh = append(fresh, ticket)
		}
	}
	output := Output{Verdicts: p.judgeWaiting()}
	if len(fresh) == 0 {
		return output
	}
	for _, peer := range p.peers() {
		if peer != from {
			output.Sends = append(output.Sends, Send{To: peer, Message: Tickets{Tickets: fresh}})
		}
	}
	return output
}

func (p *Plane) judgeWaiting() []state.Verdict {
	var verdicts []state.Verdict
	for {
		before := p.snapshots.Load()
		ticket, ok := p.tickets[before.Judged()+1]
		if !ok {
			return verdicts
		}
		after, verdict := acceptance.Judge(before, ticket)
		p.snapshots.Swap(after)
		p.verdicts[ticket.Number] = verdict
		verdicts = append(verdicts, verdict)
	}
}

func (p *Plane) answerOffer(from state.HostName, head Head) Output {
	own := p.Head()
	if head.Judged < own.Judged {
		return p.answerRequest(from, head.Judged)
	}
	if head.Judged > own.Judged {
		return Output{Sends: []Send{{To: from, Message: Request{After: own.Judged}}}}
	}
	return Output{}
}

func (p *Plane) answerRequest(from state.HostName, after state.TicketNumber) Output {
	p.mu.Lock()
	defer p.mu.Unlock()
	var missing []state.Ticket
	for number := after + 1; ; number++ {
		ticket, ok := p.tickets[number]
		if !ok {
			break
		}
		missing = append(missing, ticket)
	}
	if len(missing) == 0 {
		return Output{}
	}
	return Output{Sends: []Send{{To: from, Message: Tickets{Tickets: missing}}}}
}
