// Package controlloop runs the threads that carry out what package control
// decides: one reads the tickets, one reads the host list, one wakes the plane
// when something is due, and one per wanted peer keeps a session.
package controlloop

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/wasabiport/wasabiport/coordination/control"
	"github.com/wasabiport/wasabiport/coordination/quarantine"
	"github.com/wasabiport/wasabiport/state"
)

// watchWait is how long the source may hold a watch.
const watchWait = 25 * time.Second

// Source reads from the platform.
type Source interface {
	// Tickets returns the tickets after a number; with a wait it may hold
	// the read until there is one.
	Tickets(ctx context.Context, after state.TicketNumber, wait time.Duration) ([]state.Ticket, error)
	// Hosts returns the host list when it is newer than a version.
	Hosts(ctx context.Context, after uint64, wait time.Duration) (state.HostList, error)
}

// Peers reaches other nodes.
type Peers interface {
	// Send queues a message without blocking.
	Send(to state.HostName, message control.Message) error
	// MaintainSession holds a session to a host until ctx ends.
	MaintainSession(ctx context.Context, host state.Host)
}

// Loop drives a control plane.
type Loop struct {
	plane  *control.Plane
	source Source
	logger logr.Logger
	peers  Peers
	// Each thread that waits for a time which the plane may change has a
	// channel of its own that wakes it.
	tickWoken    chan struct{}
	ticketsWoken chan struct{}
	hostsWoken   chan struct{}

	ticketReads, hostReads *reads

	kept    map[state.HostName]keeping
	threads sync.WaitGroup
	cancel  context.CancelFunc
	started time.Time
	// reportedReady is used by the tick thread alone.
	reportedReady bool
}

// keeping is a session that is held to a wanted peer.
type keeping struct {
	address string
	cancel  context.CancelFunc
}

// New returns a loop that is not running. Events go to logger.
func New(plane *control.Plane, source Source, logger logr.Logger) *Loop {
	return &Loop{
		plane:        plane,
		source:       source,
		logger:       logger,
		tickWoken:    make(chan struct{}, 1),
		ticketsWoken: make(chan struct{}, 1),
		hostsWoken:   make(chan struct{}, 1),
		ticketReads:  &reads{},
		hostReads:    &reads{},
		kept:         make(map[state.HostName]keeping),
	}
}

// Start runs the threads. Shutdown ends them.
func (l *Loop) Start(peers Peers) {
	ctx, cancel := context.WithCancel(context.Background())
	l.peers = peers
	l.cancel = cancel
	l.started = time.Now()
	l.threads.Go(func() { l.readTickets(ctx) })
	l.threads.Go(func() { l.readHosts(ctx) })
	l.threads.Go(func() { l.tick(ctx) })
}

// Leave announces to the peers that this node takes no more work.
func (l *Loop) Leave() { l.carryOut(l.plane.Leave(time.Now())) }

// NotifyGuards tells the other guards of the fleet of requests that
// may crash backend servers.
func (l *Loop) NotifyGuards(notices []quarantine.Notice) {
	l.carryOut(l.plane.BroadcastCrashNotices(notices))
}

// Shutdown ends the threads and waits for them.
func (l *Loop) Shutdown() {
	l.cancel()
	l.threads.Wait()
}

// Receive takes a control message from a peer.
func (l *Loop) Receive(from state.HostName, message control.Message) {
	l.carryOut(l.plane.Receive(time.Now(), from, message))
}

// Connected tells that messages to a peer can be sent over one more session.
func (l *Loop) Connected(host state.HostName) {
	l.carryOut(l.plane.Connected(time.Now(), host))
}

// Disconnected tells that a session to a peer has ended.
func (l *Loop) Disconnected(host state.HostName) {
	l.carryOut(l.plane.Disconnected(time.Now(), host))
}

// carryOut does what the plane has asked for, and wakes the threads whose
// times may have changed.
func (l *Loop) carryOut(output control.Output) {
	l.deliver(output)
	wake(l.tickWoken)
	wake(l.ticketsWoken)
	wake(l.hostsWoken)
}

func (l *Loop) deliver(output control.Output) {
	for _, send := range output.Messages {
		// A message that can't be sent is made up for by digest repair.
		_ = l.peers.Send(send.To, send.Message)
	}
	l.logOutput(output)
}

func wake(woken chan<- struct{}) {
	select {
	case woken <- struct{}{}:
	default:
	}
}

func (l *Loop) tick(ctx context.Context) {
	for {
		output, next := l.plane.Tick(time.Now())
		l.keepWanted(ctx)
		l.deliver(output)
		l.reportReady(time.Now())
		wake(l.ticketsWoken)
		wake(l.hostsWoken)
		if waitUntil(ctx, next, l.tickWoken) == ended {
			return
		}
	}
}

// keepWanted starts and ends the threads that hold sessions. Only the tick
// thread calls it.
func (l *Loop) keepWanted(ctx context.Context) {
	wanted := make(map[state.HostName]bool)
	for _, host := range l.plane.WantedPeers() {
		wanted[host.Name] = true
		current, ok := l.kept[host.Name]
		if ok && current.address == host.PeerAddress {
			continue
		}
		if ok {
			current.cancel()
		}
		hostCtx, cancel := context.WithCancel(ctx)
		l.kept[host.Name] = keeping{address: host.PeerAddress, cancel: cancel}
		l.threads.Go(func() { l.peers.MaintainSession(hostCtx, host) })
	}
	for name, current := range l.kept {
		if !wanted[name] {
			current.cancel()
			delete(l.kept, name)
		}
	}
}

// waited is why a wait is over.
type waited uint8

const (
	due waited = iota
	woken
	ended
)

// waitUntil waits for a time, for a wake-up or for the end of ctx.
func waitUntil(ctx context.Context, at time.Time, wakeUps <-chan struct{}) waited {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return due
	case <-wakeUps:
		return woken
	case <-ctx.Done():
		return ended
	}
}
