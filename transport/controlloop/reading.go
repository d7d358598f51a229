package controlloop

import (
	"context"
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
	var health sourceHealth
	for {
		read := l.plane.NextSourceRead(time.Now())
		switch waitUntil(ctx, health.earliest(read.At), l.ticketsWoken) {
		case ended:
			return
		case woken:
			continue
		case due:
		}
		tickets, err := l.source.Tickets(ctx, read.After, waitOf(read.Watch))
		if ctx.Err() != nil {
			return
		}
		l.noteHealth(&health, err)
		if err != nil {
			l.carryOut(l.plane.SourceFailed(time.Now()))
			continue
		}
		l.carryOut(l.plane.SourceAnswered(time.Now(), tickets))
	}
}

func (l *Loop) readHosts(ctx context.Context) {
	var health sourceHealth
	for {
		read := l.plane.NextHostListRead(time.Now())
		switch waitUntil(ctx, health.earliest(read.At), l.hostsWoken) {
		case ended:
			return
		case woken:
			continue
		case due:
		}
		list, err := l.source.Hosts(ctx, read.After, waitOf(read.Watch))
		if ctx.Err() != nil {
			return
		}
		l.noteHealth(&health, err)
		if err != nil {
			l.carryOut(l.plane.HostListFailed(time.Now()))
			continue
		}
		if list.Version > read.After {
			events.Log(l.logger, events.HostListChanged{Version: list.Version, Hosts: len(list.Hosts)})
		}
		l.carryOut(l.plane.HostListAnswered(time.Now(), list))
	}
}

func waitOf(watch bool) time.Duration {
	if watch {
		return watchWait
	}
	return 0
}

// sourceHealth is what one reading thread knows of the source.
type sourceHealth struct {
	failing bool
	// notBefore is when a throttled source may be read again.
	notBefore time.Time
}

func (h *sourceHealth) earliest(at time.Time) time.Time {
	if h.notBefore.After(at) {
		return h.notBefore
	}
	return at
}

// noteHealth logs when the source begins to fail and when it recovers.
func (l *Loop) noteHealth(health *sourceHealth, err error) {
	var throttled Throttled
	if errors.As(err, &throttled) {
		health.notBefore = time.Now().Add(throttled.RetryAfter())
	}
	if failing := err != nil; failing != health.failing {
		health.failing = failing
		if failing {
			events.Log(l.logger, events.SourceFailed{Error: err})
			return
		}
		events.Log(l.logger, events.SourceRecovered{})
	}
}
