// Package sourcereading decides when a node reads the source, so that the
// reads of the whole fleet stay within what the source can take: a few readers
// hold a watch, and the others read only when nothing fresh comes from peers,
// at a rate that falls with the size of the fleet.
package sourcereading

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/wasabiport/wasabiport/coordination/backoff"
)

// Config holds the settings of a Scheduler.
type Config struct {
	// FallbackRate is the number of reads a second that all nodes together
	// may make when none of them hears anything fresh from peers. A larger
	// rate helps cut-off nodes sooner and loads the source more.
	FallbackRate float64
	// ExpectedHosts is the number of hosts that is assumed until the host
	// list is known. It has to be at least the size of the fleet for the
	// rate to hold when all nodes start at once.
	ExpectedHosts int
	// FallbackAfter is the age of the state after which a node that is no
	// reader reads for itself.
	FallbackAfter time.Duration
	// WatchPause is the time between two watches that brought nothing.
	WatchPause time.Duration
	// BusyPause is the time between two watches while there is news.
	BusyPause time.Duration
	// Retry spreads reads of a source that fails.
	Retry backoff.Policy
}

// Answer is what a read of the source brought.
type Answer uint8

// The kinds of answers.
const (
	// AnswerUnchanged has nothing newer.
	AnswerUnchanged Answer = iota
	// AnswerNewer has something newer.
	AnswerNewer
	// AnswerStale has only what can't be used, such as values that are older
	// than asked for. The source is then read like one that fails.
	AnswerStale
)

// Read says when to read next.
type Read struct {
	At time.Time
	// Watch asks the source to hold the read until there is news.
	Watch bool
}

// Scheduler decides when to read one kind of value. It is safe for use by many
// threads under its own lock.
type Scheduler struct {
	config Config

	mu     sync.Mutex
	random *rand.Rand
	reader bool
	// hosts is the number of hosts known, 0 while it is unknown.
	hosts    int
	failures int
	nextAt   time.Time
	// confirmedAt is when the source last confirmed the state that this
	// node has, as far as it knows itself or from peers.
	confirmedAt time.Time
}

// NewScheduler returns the plan of a node that is no reader and knows nothing.
func NewScheduler(config Config, random *rand.Rand) *Scheduler {
	return &Scheduler{config: config, random: random}
}

// Next returns when and how to read.
func (p *Scheduler) Next(now time.Time) Read {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.start(now)
	return Read{At: p.nextAt, Watch: p.reader}
}

// start draws the time of the first read.
func (p *Scheduler) start(now time.Time) {
	if p.nextAt.IsZero() {
		p.nextAt = now.Add(p.upTo(p.meanInterval()))
	}
}

// SetRole says whether this node is a reader and how many hosts there are.
func (p *Scheduler) SetRole(now time.Time, reader bool, hosts int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.start(now)
	p.hosts = hosts
	if reader == p.reader {
		return
	}
	p.reader = reader
	if !reader {
		p.nextAt = now.Add(p.interval())
		return
	}
	p.nextAt = earlier(p.nextAt, now.Add(p.upTo(p.config.WatchPause)))
}

// Watches reports whether this node holds a watch on a source that answers.
func (p *Scheduler) Watches() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reader && p.failures == 0
}

// Answered takes the outcome of a read.
func (p *Scheduler) Answered(now time.Time, answer Answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if answer == AnswerStale {
		p.failed(now)
		return
	}
	p.failures = 0
	p.confirmedAt = now
	switch {
	case !p.reader:
		p.nextAt = now.Add(p.config.FallbackAfter + p.interval())
	case answer == AnswerNewer:
		p.nextAt = now.Add(p.config.BusyPause)
	default:
		p.nextAt = now.Add(p.config.WatchPause)
	}
}

// Failed says that a read failed.
func (p *Scheduler) Failed(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failed(now)
}

func (p *Scheduler) failed(now time.Time) {
	p.failures++
	delay := p.config.Retry.Delay(p.failures, p.random)
	if !p.reader {
		delay = max(delay, p.interval())
	}
	p.nextAt = now.Add(delay)
}

// PeerConfirmed says that a peer's state, which this node has too, was
// confirmed by the source at the given time.
func (p *Scheduler) PeerConfirmed(now, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.start(now)
	if !at.After(p.confirmedAt) {
		return
	}
	p.confirmedAt = at
	orphanAt := at.Add(p.config.FallbackAfter)
	if !p.reader && p.nextAt.Before(orphanAt) && now.Before(orphanAt) {
		p.nextAt = orphanAt.Add(p.interval())
	}
}

// Isolated says that this node has no peers, so that it has to read for
// itself.
func (p *Scheduler) Isolated(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.start(now)
	if !p.reader && p.failures == 0 {
		p.nextAt = earlier(p.nextAt, now.Add(p.interval()))
	}
}

// Resumed says that the process was paused. A reader reads at once.
func (p *Scheduler) Resumed(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reader {
		p.nextAt = earlier(p.nextAt, now.Add(p.upTo(p.config.WatchPause)))
	}
}

// ConfirmedAt returns when the source last confirmed the state, or the zero
// time.
func (p *Scheduler) ConfirmedAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.confirmedAt
}

// meanInterval is the time in which each host may read once.
func (p *Scheduler) meanInterval() time.Duration {
	hosts := p.hosts
	if hosts == 0 {
		hosts = p.config.ExpectedHosts
	}
	return time.Duration(float64(hosts) / p.config.FallbackRate * float64(time.Second))
}

// interval draws a time around the mean interval.
func (p *Scheduler) interval() time.Duration {
	mean := p.meanInterval()
	return mean/2 + p.upTo(mean)
}

func (p *Scheduler) upTo(limit time.Duration) time.Duration {
	return time.Duration(p.random.Int64N(int64(limit) + 1))
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
