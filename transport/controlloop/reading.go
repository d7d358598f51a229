package controlloop

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiport/wasabiport/transport/events"
)

// Throttled is an error of a source that says when to come back.
type Throttled interface {
	error
	// RetryAfter is the least time until the next read.
	RetryAfter() time.Duration
}

func (l *Loop) readTickets(ctx context.Context) {
	for {
		read := l.plane.NextTicketsRead(time.Now())
		switch waitUntil(ctx, l.ticketReads.earliest(read.At), l.ticketsWoken) {
		case ended:
			return
		case woken:
			continue
		case due:
		}
		readCtx := l.ticketReads.begin(ctx)
		tickets, err := l.source.Tickets(readCtx, read.After, waitOf(read.Watch, time.Time{}))
		if ctx.Err() != nil {
			return
		}
		if recovered := l.noteHealth(readCtx, l.ticketReads, err); recovered {
			l.hostReads.giveUp()
		}
		if err != nil {
			l.carryOut(l.plane.HandleTicketsReadFailure(time.Now()))
			continue
		}
		l.carryOut(l.plane.HandleTickets(time.Now(), tickets))
	}
}

func (l *Loop) readHosts(ctx context.Context) {
	for {
		read := l.plane.NextHostListRead(time.Now())
		switch waitUntil(ctx, l.hostReads.earliest(read.At), l.hostsWoken) {
		case ended:
			return
		case woken:
			continue
		case due:
		}
		readCtx := l.hostReads.begin(ctx)
		list, err := l.source.Hosts(readCtx, read.After, waitOf(read.Watch, read.WatchUntil))
		if ctx.Err() != nil {
			return
		}
		if recovered := l.noteHealth(readCtx, l.hostReads, err); recovered {
			l.ticketReads.giveUp()
		}
		if err != nil {
			l.carryOut(l.plane.HandleHostListReadFailure(time.Now()))
			continue
		}
		if list.Version > read.After {
			events.Log(l.logger, events.HostListChanged{Version: list.Version, Hosts: len(list.Hosts)})
		}
		l.carryOut(l.plane.HandleHostList(time.Now(), list))
	}
}

// waitOf returns how long the source may hold a read: not at all unless it is a
// watch, which ends at until at the latest when that is set.
func waitOf(watch bool, until time.Time) time.Duration {
	switch {
	case !watch:
		return 0
	case until.IsZero():
		return watchWait
	default:
		return min(watchWait, max(0, time.Until(until)))
	}
}

// reads is what a thread that reads the source knows of it. Other threads call
// giveUp alone.
type reads struct {
	failing bool
	// notBefore is when a throttled source may be read again.
	notBefore time.Time

	mu     sync.Mutex
	cancel context.CancelFunc
}

func (r *reads) earliest(at time.Time) time.Time {
	if r.notBefore.After(at) {
		return r.notBefore
	}
	return at
}

// begin returns the context of the next read.
func (r *reads) begin(ctx context.Context) context.Context {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancel != nil {
		r.cancel()
	}
	ctx, r.cancel = context.WithCancel(ctx)
	return ctx
}

// giveUp ends the read that goes on, if any. A source that was away may never
// answer the reads that it had taken before.
func (r *reads) giveUp() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancel != nil {
		r.cancel()
	}
}

// noteHealth logs when the source begins to fail and when it recovers, and
// reports whether it has recovered. A read that was given up tells nothing.
func (l *Loop) noteHealth(readCtx context.Context, reads *reads, err error) (recovered bool) {
	if readCtx.Err() != nil {
		return false
	}
	var throttled Throttled
	if errors.As(err, &throttled) {
		reads.notBefore = time.Now().Add(throttled.RetryAfter())
	}
	failing := err != nil
	if failing == reads.failing {
		return false
	}
	reads.failing = failing
	if failing {
		events.Log(l.logger, events.SourceFailed{Error: err})
		return false
	}
	events.Log(l.logger, events.SourceRecovered{})
	return true
}
