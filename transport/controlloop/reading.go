package controlloop

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiport/wasabiport/coordination/sourcereading"
	"github.com/wasabiport/wasabiport/transport/events"
)

// Throttled is an error of a source that asks to delay the next read.
type Throttled interface {
	error
	// RetryAfter returns the minimum delay until the next read.
	RetryAfter() time.Duration
}

func (l *Loop) readTickets(ctx context.Context) {
	for {
		read := l.plane.NextTicketsRead(time.Now())
		switch waitUntil(ctx, l.ticketReads.earliestRead(read.At), l.ticketsWake) {
		case ended:
			return
		case woken:
			continue
		case due:
		}
		readCtx := l.ticketReads.beginRead(ctx)
		l.reads.TicketsRead(read.Reason)
		tickets, err := l.source.Tickets(readCtx, read.After, maxWait(read.Watch, time.Time{}))
		if ctx.Err() != nil {
			return
		}
		if recovered := l.recordHealth(readCtx, l.ticketReads, err); recovered {
			l.hostReads.cancelRead()
		}
		if err != nil {
			now := time.Now()
			l.execute(now, l.plane.HandleTicketsReadFailure(now))
			continue
		}
		l.handleDrainedZones()
		now := time.Now()
		l.execute(now, l.plane.HandleTickets(now, tickets))
	}
}

// handleDrainedZones passes on the drained zones that the source has read with the
// tickets, if it reads them.
func (l *Loop) handleDrainedZones() {
	source, ok := l.source.(ZoneSource)
	if !ok {
		return
	}
	now := time.Now()
	l.execute(now, l.plane.HandleDrainedZones(now, source.DrainedZones()))
}

func (l *Loop) readHosts(ctx context.Context) {
	for {
		read := l.plane.NextHostListRead(time.Now())
		switch waitUntil(ctx, l.hostReads.earliestRead(read.At), l.hostsWake) {
		case ended:
			return
		case woken:
			continue
		case due:
		}
		readCtx := l.hostReads.beginRead(ctx)
		l.reads.HostListRead(read.Reason)
		list, err := l.source.Hosts(readCtx, sourcereading.Query{
			After:      read.After,
			Wait:       maxWait(read.Watch, read.WatchUntil),
			MayBeStale: read.MayBeStale,
		})
		if ctx.Err() != nil {
			return
		}
		if recovered := l.recordHealth(readCtx, l.hostReads, err); recovered {
			l.ticketReads.cancelRead()
		}
		if err != nil {
			now := time.Now()
			l.execute(now, l.plane.HandleHostListReadFailure(now))
			continue
		}
		if list.Version > read.After {
			events.Log(l.logger, events.HostListChanged{Version: list.Version, Hosts: len(list.Hosts)})
		}
		now := time.Now()
		l.execute(now, l.plane.HandleHostList(now, list))
	}
}

// maxWait returns the maximum time that a read may block at the source. It is 0
// unless the read is a watch. A watch ends at until at the latest, if that is
// set.
func maxWait(watch bool, until time.Time) time.Duration {
	switch {
	case !watch:
		return 0
	case until.IsZero():
		return watchWait
	default:
		return min(watchWait, max(0, time.Until(until)))
	}
}

// readState is the state of a goroutine that reads the source. Only cancelRead
// may be called by other goroutines.
type readState struct {
	failing bool
	// notBefore is the earliest time of the next read of a throttled source.
	notBefore time.Time

	mu     sync.Mutex
	cancel context.CancelFunc
}

func (r *readState) earliestRead(at time.Time) time.Time {
	if r.notBefore.After(at) {
		return r.notBefore
	}
	return at
}

// beginRead returns the context of the next read and cancels that of the
// previous one.
func (r *readState) beginRead(ctx context.Context) context.Context {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancel != nil {
		r.cancel()
	}
	ctx, r.cancel = context.WithCancel(ctx)
	return ctx
}

// cancelRead cancels the current read, if any. After an outage, the source may
// never answer reads that it accepted before.
func (r *readState) cancelRead() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancel != nil {
		r.cancel()
	}
}

// recordHealth logs the transitions between failing and working reads, and
// reports whether the source has just recovered. The result of a canceled read
// is ignored.
func (l *Loop) recordHealth(readCtx context.Context, reads *readState, err error) (recovered bool) {
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
