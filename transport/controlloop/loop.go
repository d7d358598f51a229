// Package controlloop runs the goroutines that execute the decisions of package
// control: one reads the tickets, one reads the host list, one calls the control
// plane's Tick when a timer is due, and one per wanted peer maintains a session.
package controlloop

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/wasabiport/wasabiport/coordination/control"
	"github.com/wasabiport/wasabiport/coordination/quarantine"
	"github.com/wasabiport/wasabiport/coordination/sourcereading"
	"github.com/wasabiport/wasabiport/state"
)

// watchWait is the maximum time that a watch may wait for changes.
const watchWait = 25 * time.Second

// Source reads tickets and the host list from the platform.
type Source interface {
	// Tickets returns the tickets after a number. If there are none, the read
	// may block for up to wait.
	Tickets(ctx context.Context, after state.TicketNumber, wait time.Duration) ([]state.Ticket, error)
	// Hosts returns the host list if its version is newer than that of the
	// query. If it is not, the read may block for up to the wait of the query.
	Hosts(ctx context.Context, query sourcereading.Query) (state.HostList, error)
}

// ZoneSource is a Source that also reads which availability zones are drained.
type ZoneSource interface {
	// DrainedZones returns the drained zones as of the latest call of Tickets that
	// succeeded. It is not called concurrently with Tickets.
	DrainedZones() state.DrainedZones
}

// ReadObserver is informed of the reads of the source. Its methods are called
// concurrently.
type ReadObserver interface {
	TicketsRead(reason sourcereading.Reason)
	HostListRead(reason sourcereading.Reason)
}

// Peers sends to other nodes and maintains the sessions to them.
type Peers interface {
	// Send queues a message without blocking.
	Send(to state.HostName, message control.Message) error
	// MaintainSession keeps a session to a host open until ctx ends.
	MaintainSession(ctx context.Context, host state.Host)
}

// Loop runs a control plane: it passes timers, messages and the answers of the
// source to the plane, and executes the resulting output.
type Loop struct {
	plane  *control.Plane
	source Source
	reads  ReadObserver
	logger logr.Logger
	peers  Peers
	// Each goroutine waits for a time that the plane may change. A value on its
	// channel ends the wait, and the goroutine asks the plane for the new time.
	tickWake    chan struct{}
	ticketsWake chan struct{}
	hostsWake   chan struct{}

	ticketReads, hostReads *readState

	keptSessions map[state.HostName]keptSession
	goroutines   sync.WaitGroup
	cancel       context.CancelFunc
	started      time.Time
	// reportedReady is accessed only by the tick goroutine.
	reportedReady bool
}

// keptSession is a running call of Peers.MaintainSession for a wanted peer.
type keptSession struct {
	address string
	cancel  context.CancelFunc
}

// New returns a loop that is not started. Events are written to logger.
func New(plane *control.Plane, source Source, reads ReadObserver, logger logr.Logger) *Loop {
	return &Loop{
		plane:        plane,
		source:       source,
		reads:        reads,
		logger:       logger,
		tickWake:     make(chan struct{}, 1),
		ticketsWake:  make(chan struct{}, 1),
		hostsWake:    make(chan struct{}, 1),
		ticketReads:  &readState{},
		hostReads:    &readState{},
		keptSessions: make(map[state.HostName]keptSession),
	}
}

// Start starts the goroutines; Shutdown stops them.
func (l *Loop) Start(peers Peers) {
	ctx, cancel := context.WithCancel(context.Background())
	l.peers = peers
	l.cancel = cancel
	l.started = time.Now()
	l.goroutines.Go(func() { l.readTickets(ctx) })
	l.goroutines.Go(func() { l.readHosts(ctx) })
	l.goroutines.Go(func() { l.tick(ctx) })
}

// Leave announces to the peers that this node accepts no more work.
func (l *Loop) Leave() {
	now := time.Now()
	l.execute(now, l.plane.Leave(now))
}

// NotifyGuards sends notices of requests that may crash backend servers to the
// other guards of the fleet.
func (l *Loop) NotifyGuards(notices []quarantine.Notice) {
	l.execute(time.Now(), l.plane.BroadcastCrashNotices(notices))
}

// Shutdown stops the goroutines and waits for them to end.
func (l *Loop) Shutdown() {
	l.cancel()
	l.goroutines.Wait()
}

// Receive handles a control message from a peer.
func (l *Loop) Receive(from state.HostName, message control.Message) {
	now := time.Now()
	l.execute(now, l.plane.Receive(now, from, message))
}

// Connected records that a session to a peer has opened.
func (l *Loop) Connected(host state.HostName) {
	now := time.Now()
	l.execute(now, l.plane.Connected(now, host))
}

// Disconnected records that a session to a peer has ended.
func (l *Loop) Disconnected(host state.HostName) {
	now := time.Now()
	l.execute(now, l.plane.Disconnected(now, host))
}

// execute sends and logs an output of the plane and wakes the goroutines,
// because the times they wait for may have changed. started is when the plane was
// called.
func (l *Loop) execute(started time.Time, output control.Output) {
	l.sendAndLog(started, output)
	notify(l.tickWake)
	notify(l.ticketsWake)
	notify(l.hostsWake)
}

func (l *Loop) sendAndLog(started time.Time, output control.Output) {
	duration := time.Since(started)
	for _, send := range output.Messages {
		// Digest repair recovers the content of messages that are lost.
		_ = l.peers.Send(send.To, send.Message)
	}
	l.logOutput(output, duration)
}

func notify(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

func (l *Loop) tick(ctx context.Context) {
	for {
		now := time.Now()
		output, next := l.plane.Tick(now)
		l.updateSessions(ctx)
		l.sendAndLog(now, output)
		l.reportReady(time.Now())
		notify(l.ticketsWake)
		notify(l.hostsWake)
		if waitUntil(ctx, next, l.tickWake) == ended {
			return
		}
	}
}

// updateSessions starts and stops session goroutines to match the peers that the
// plane wants. It is called only by the tick goroutine.
func (l *Loop) updateSessions(ctx context.Context) {
	wanted := make(map[state.HostName]bool)
	for _, host := range l.plane.WantedPeers() {
		wanted[host.Name] = true
		current, ok := l.keptSessions[host.Name]
		if ok && current.address == host.PeerAddress {
			continue
		}
		if ok {
			current.cancel()
		}
		hostCtx, cancel := context.WithCancel(ctx)
		l.keptSessions[host.Name] = keptSession{address: host.PeerAddress, cancel: cancel}
		l.goroutines.Go(func() { l.peers.MaintainSession(hostCtx, host) })
	}
	for name, current := range l.keptSessions {
		if !wanted[name] {
			current.cancel()
			delete(l.keptSessions, name)
		}
	}
}

// waitResult is the reason why a wait ended.
type waitResult uint8

const (
	due waitResult = iota
	woken
	ended
)

// waitUntil blocks until a time, a wake-up or the end of ctx.
func waitUntil(ctx context.Context, at time.Time, wakeUps <-chan struct{}) waitResult {
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
