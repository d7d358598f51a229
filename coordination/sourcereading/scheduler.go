// Package sourcereading schedules the reads of the source so that the whole
// fleet stays within the capacity of the source: a few readers hold a watch,
// and the other nodes read only if peers deliver no recent state, at a rate per
// node that falls with the size of the fleet.
package sourcereading

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/wasabiport/wasabiport/coordination/backoff"
)

// isolatedAge is the age up to which the state of a node without peers is recent
// enough.
const isolatedAge = 2 * time.Second

// Scheduler decides when to read one kind of value. It is safe for concurrent
// use; its state is under one lock.
type Scheduler struct {
	config Config

	mu     sync.Mutex
	random *rand.Rand
	reader bool
	// isolated is true while no peer responds.
	isolated bool
	// hosts is the number of hosts in the host list, 0 while there is no list.
	hosts    int
	failures int
	nextAt   time.Time
	// confirmedAt is when the source last confirmed the local state, either to
	// this node or to a peer with the same state.
	confirmedAt time.Time
}

// NewScheduler returns the scheduler of a node that is not a reader and has no
// host list.
func NewScheduler(config Config, random *rand.Rand) *Scheduler {
	return &Scheduler{config: config, random: random}
}

// Next returns the time and kind of the next read.
func (s *Scheduler) Next(now time.Time) Read {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduleFirst(now)
	return Read{At: s.nextAt, Watch: s.reader, Reason: s.reason()}
}

func (s *Scheduler) reason() Reason {
	switch {
	case s.failures > 0:
		return ReasonRetry
	case s.reader:
		return ReasonWatch
	case s.confirmedAt.IsZero():
		return ReasonStart
	default:
		return ReasonFallback
	}
}

// scheduleFirst schedules the first read at a random time within the mean
// interval.
func (s *Scheduler) scheduleFirst(now time.Time) {
	if s.nextAt.IsZero() {
		s.nextAt = now.Add(s.config.StartDelay + s.randomUpTo(s.meanInterval()))
	}
}

// SetRole sets whether this node is a reader and the number of hosts.
func (s *Scheduler) SetRole(now time.Time, reader bool, hosts int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduleFirst(now)
	s.hosts = hosts
	if reader == s.reader {
		return
	}
	s.reader = reader
	if !reader {
		s.nextAt = now.Add(s.interval())
		return
	}
	s.nextAt = earlier(s.nextAt, now.Add(s.randomUpTo(s.config.WatchPause)))
}

// Watches reports whether this node holds a watch and the latest read has not
// failed.
func (s *Scheduler) Watches() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reader && s.failures == 0
}

// RecordAnswer records the result of a read.
func (s *Scheduler) RecordAnswer(now time.Time, answer Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if answer == AnswerStale {
		s.failed(now)
		return
	}
	s.failures = 0
	s.confirmedAt = now
	switch {
	case !s.reader:
		s.nextAt = now.Add(s.config.FallbackAfter + s.spread())
	case answer == AnswerNewer:
		s.nextAt = now.Add(s.config.BusyPause)
	default:
		s.nextAt = now.Add(s.config.WatchPause)
	}
}

// RecordFailure records that a read failed.
func (s *Scheduler) RecordFailure(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed(now)
}

func (s *Scheduler) failed(now time.Time) {
	s.failures++
	delay := s.retryPolicy().Delay(s.failures, s.random)
	if !s.reader {
		delay = max(delay, s.interval())
	}
	s.nextAt = now.Add(delay)
}

func (s *Scheduler) retryPolicy() backoff.Policy {
	if s.reader || s.isolated || s.config.FallbackRetry == (backoff.Policy{}) {
		return s.config.Retry
	}
	return s.config.FallbackRetry
}

// RecordPeerConfirmation records the time at which the source confirmed the state of a
// peer. The peer must have the same state as this node.
func (s *Scheduler) RecordPeerConfirmation(now, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduleFirst(now)
	s.isolated = false
	if !at.After(s.confirmedAt) {
		return
	}
	s.confirmedAt = at
	fallbackAt := at.Add(s.config.FallbackAfter)
	if !s.reader && s.nextAt.Before(fallbackAt) && now.Before(fallbackAt) {
		s.nextAt = fallbackAt.Add(s.spread())
	}
}

// RequestRead schedules a read now, unless this node is a reader or its latest read
// has failed.
func (s *Scheduler) RequestRead(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduleFirst(now)
	if !s.reader && s.failures == 0 {
		s.nextAt = earlier(s.nextAt, now)
	}
}

// RecordSourceAnswer records that the source has answered a read of another value. A
// reader whose latest read has failed reads again within WatchPause, instead of after
// the rest of its backoff.
func (s *Scheduler) RecordSourceAnswer(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reader && s.failures > 0 {
		s.nextAt = earlier(s.nextAt, now.Add(s.randomUpTo(s.config.WatchPause)))
	}
}

// RecordIsolation records that this node has no peers and has to read the source
// itself.
func (s *Scheduler) RecordIsolation(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduleFirst(now)
	s.isolated = true
	if s.reader || s.failures > 0 || s.confirmedAt.IsZero() {
		return
	}
	staleAt := s.confirmedAt.Add(min(s.config.FallbackAfter, isolatedAge))
	s.nextAt = earlier(s.nextAt, later(now, staleAt).Add(s.interval()))
}

// RecordResume records that the process was paused. A reader reads again within
// WatchPause.
func (s *Scheduler) RecordResume(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reader {
		s.nextAt = earlier(s.nextAt, now.Add(s.randomUpTo(s.config.WatchPause)))
	}
}

// ConfirmedAt returns when the source last confirmed the state, or the zero
// time.
func (s *Scheduler) ConfirmedAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmedAt
}
