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

// Config holds the settings of a Scheduler.
type Config struct {
	// FallbackRate is the total number of reads per second by all nodes while
	// none of them receives recent state from peers. A larger rate helps
	// isolated nodes sooner and puts more load on the source.
	FallbackRate float64
	// ExpectedHosts is the number of hosts that is assumed until the host list
	// is available. If it is below the size of the fleet, a simultaneous start
	// of all nodes exceeds FallbackRate.
	ExpectedHosts int
	// FallbackAfter is the age of the state after which a node that is not a
	// reader reads the source itself.
	FallbackAfter time.Duration
	// WatchPause is the pause after a watch that returned no change.
	WatchPause time.Duration
	// BusyPause is the pause after a watch that returned a change.
	BusyPause time.Duration
	// Retry sets the backoff after failed reads.
	Retry backoff.Policy
}

// Answer classifies the result of a read.
type Answer uint8

// The kinds of answers.
const (
	// AnswerUnchanged has nothing newer.
	AnswerUnchanged Answer = iota
	// AnswerNewer has a newer state.
	AnswerNewer
	// AnswerStale has only unusable data, such as values older than requested.
	// The next read is delayed as after a failure.
	AnswerStale
)

// Read is the time and kind of the next read.
type Read struct {
	At time.Time
	// Watch asks the source to hold the read until there is a change.
	Watch bool
}

// Scheduler decides when to read one kind of value. It is safe for concurrent
// use; its state is under one lock.
type Scheduler struct {
	config Config

	mu     sync.Mutex
	random *rand.Rand
	reader bool
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
	return Read{At: s.nextAt, Watch: s.reader}
}

// scheduleFirst schedules the first read at a random time within the mean
// interval.
func (s *Scheduler) scheduleFirst(now time.Time) {
	if s.nextAt.IsZero() {
		s.nextAt = now.Add(s.randomUpTo(s.meanInterval()))
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
		s.nextAt = now.Add(s.config.FallbackAfter + s.interval())
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
	delay := s.config.Retry.Delay(s.failures, s.random)
	if !s.reader {
		delay = max(delay, s.interval())
	}
	s.nextAt = now.Add(delay)
}

// RecordPeerConfirmation records the time at which the source confirmed the state of a
// peer. The peer must have the same state as this node.
func (s *Scheduler) RecordPeerConfirmation(now, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduleFirst(now)
	if !at.After(s.confirmedAt) {
		return
	}
	s.confirmedAt = at
	fallbackAt := at.Add(s.config.FallbackAfter)
	if !s.reader && s.nextAt.Before(fallbackAt) && now.Before(fallbackAt) {
		s.nextAt = fallbackAt.Add(s.interval())
	}
}

// RecordIsolation records that this node has no peers and has to read the source
// itself.
func (s *Scheduler) RecordIsolation(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduleFirst(now)
	if !s.reader && s.failures == 0 {
		s.nextAt = earlier(s.nextAt, now.Add(s.interval()))
	}
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

// meanInterval is the mean time between two reads of one host at which all
// hosts together read at FallbackRate.
func (s *Scheduler) meanInterval() time.Duration {
	hosts := s.hosts
	if hosts == 0 {
		hosts = s.config.ExpectedHosts
	}
	return time.Duration(float64(hosts) / s.config.FallbackRate * float64(time.Second))
}

// interval returns a random time between half and one and a half times the mean
// interval.
func (s *Scheduler) interval() time.Duration {
	mean := s.meanInterval()
	return mean/2 + s.randomUpTo(mean)
}

func (s *Scheduler) randomUpTo(limit time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(limit) + 1))
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
