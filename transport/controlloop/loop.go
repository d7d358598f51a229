// Package controlloop runs the threads that carry out what package control
// decides: one reads the source, one reads the host list, one wakes the plane
// when something is due, and one per wanted peer keeps a session.
package controlloop

import (
	"context"
	"sync"
	"time"

	"github.com/wasabiport/wasabiport/coordination/control"
	"github.com/wasabiport/wasabiport/state"
)

// Settings of the loop.
const (
	// watchWait is how long the source may hold a watch.
	watchWait = 25 * time.Second
	// hostListRetryInterval is the time between two reads of a host list
	// that can't be had.
	hostListRetryInterval = time.Second
)

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
	// Keep holds a session to a host until ctx ends.
	Keep(ctx context.Context, host state.Host)
}

// Loop drives a control plane.
type Loop struct {
	plane  *control.Plane
	source Source
	peers  Peers
	// woken tells the tick thread that something may be due earlier.
	woken   chan struct{}
	kept    map[state.HostName]keeping
	threads sync.WaitGroup
	cancel  context.CancelFunc
}

// keeping is a session that is held to a wanted peer.
type keeping struct {
	address string
	cancel  context.CancelFunc
}

// New returns a loop that is not running.
func New(plane *control.Plane, source Source) *Loop {
	return &Loop{
		plane:  plane,
		source: source,
		woken:  make(chan struct{}, 1),
		kept:   make(map[state.HostName]keeping),
	}
}

// Start runs the threads. Shutdown ends them.
func (l *Loop) Start(peers Peers) {
	ctx, cancel := context.WithCancel(context.Background())
	l.peers = peers
	l.cancel = cancel
	l.threads.Go(func() { l.readTickets(ctx) })
	l.threads.Go(func() { l.readHosts(ctx) })
	l.threads.Go(func() { l.tick(ctx) })
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

// Connected tells that messages to a peer can be sent.
func (l *Loop) Connected(host state.HostName) {
	l.carryOut(l.plane.Connected(time.Now(), host))
}

// Disconnected tells that messages to a peer can't be sent any more.
func (l *Loop) Disconnected(host state.HostName) {
	l.carryOut(l.plane.Disconnected(time.Now(), host))
}

func (l *Loop) carryOut(output control.Output) {
	for _, send := range output.Sends {
		// A message that can't be sent is made up for by digest repair.
		_ = l.peers.Send(send.To, send.Message)
	}
	l.wake()
}

func (l *Loop) wake() {
	select {
	case l.woken <- struct{}{}:
	default:
	}
}

func (l *Loop) readTickets(ctx context.Context) {
	for {
		read := l.plane.NextSourceRead(time.Now())
		if !sleepUntil(ctx, read.At) {
			return
		}
		var wait time.Duration
		if read.Watch {
			wait = watchWait
		}
		tickets, err := l.source.Tickets(ctx, read.After, wait)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			l.carryOut(l.plane.SourceFailed(time.Now()))
			continue
		}
		l.carryOut(l.plane.SourceAnswered(time.Now(), tickets))
	}
}

func (l *Loop) readHosts(ctx context.Context) {
	var version uint64
	for {
		list, err := l.source.Hosts(ctx, version, watchWait)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if !sleepUntil(ctx, time.Now().Add(hostListRetryInterval)) {
				return
			}
			continue
		}
		if list.Version > version {
			version = list.Version
			l.carryOut(l.plane.HostListAnswered(time.Now(), list))
		}
	}
}

func (l *Loop) tick(ctx context.Context) {
	for {
		output, next := l.plane.Tick(time.Now())
		l.keepWanted(ctx)
		for _, send := range output.Sends {
			_ = l.peers.Send(send.To, send.Message)
		}
		timer := time.NewTimer(time.Until(next))
		select {
		case <-timer.C:
		case <-l.woken:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
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
		l.threads.Go(func() { l.peers.Keep(hostCtx, host) })
	}
	for name, current := range l.kept {
		if !wanted[name] {
			current.cancel()
			delete(l.kept, name)
		}
	}
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
