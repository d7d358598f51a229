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

// Config holds the settings of a Plan.
type Config struct {
	// FallbackRate is the number of reads a second that all nodes together
	// may make when none of them hears anything fresh from peers. A larger
	// rate helps cut-off nodes sooner and loads the source more.
	FallbackRate float64
	// ExpectedHosts is the number of hosts that is assumed until the host
	// list is known. It has to be at least the size of the fleet for the
	// rate to hold when all nodes start at once.
	ExpectedHosts int
	// OrphanAfter is the age of the state after which a node that is no
	// reader reads for itself.
	OrphanAfter time.Duration
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
	// AnswerNothing has nothing newer.
	AnswerNothing Answer = iota
	// AnswerNews has something newer.
	AnswerNews
	// AnswerOld has only what can't be used, such as values that are older
	// than asked for. The source is then read like one that fails.
	AnswerOld
)

// Read says when to read next.
type Read struct {
	At time.Time
	// Watch asks the source to hold the read until there is news.
	Watch bool
}

// Plan decides when to read one kind of value. It is safe for use by many
// threads under its own lock.
type Plan struct {
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

// NewPlan returns the plan of a node that is no reader and knows nothing.
func NewPlan(config Config, random *rand.Rand) *Plan {
	return &Plan{config: config, random: random}
}

// Next returns when and how to read.
func (p *Plan) Next(now time.Time) Read {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.start(now)
	return Read{At: p.nextAt, Watch: p.reader}
}

// start draws the time of the first read.
func (p *Plan) start(now time.Time) {
	if p.nextAt.IsZero() {
		p.nextAt = now.Add(p.upTo(p.meanInterval()))
	}
}

// SetRole says whether this node is a reader and how many hosts there are.
func (p *Plan) SetRole(now time.Time, reader bool, hosts int) {
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
func (p *Plan) Watches() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reader && p.failures == 0
}

// Answered takes the outcome of a read.
func (p *Plan) Answered(now time.Time, answer Answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if answer == AnswerOld {
		p.failed(now)
		return
	}
	p.failures = 0
	p.confirmedAt = now
	switch {
	case !p.reader:
		p.nextAt = now.Add(p.config.OrphanAfter + p.interval())
	case answer == AnswerNews:
		p.nextAt = now.Add(p.config.BusyPause)
	default:
		p.nextAt = now.Add(p.config.WatchPause)
	}
}

// Failed says that a read failed.
func (p *Plan) Failed(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failed(now)
}

func (p *Plan) failed(now time.Time) {
	p.failures++
	delay := p.config.Retry.Delay(p.failures, p.random)
	if !p.reader {
		delay = max(delay, p.interval())
	}
	p.nextAt = now.Add(delay)
}

// PeerConfirmed says that a peer's state, which this node has too, was
// confirmed by the source at the given time.
func (p *Plan) PeerConfirmed(now, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.start(now)
	if !at.After(p.confirmedAt) {
		return
	}
	p.confirmedAt = at
	orphanAt := at.Add(p.config.OrphanAfter)
	if !p.reader && p.nextAt.Before(orphanAt) && now.Before(orphanAt) {
		p.nextAt = orphanAt.Add(p.interval())
	}
}

// Isolated says that this node has no peers, so that it has to read for
// itself.
func (p *Plan) Isolated(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.start(now)
	if !p.reader && p.failures == 0 {
		p.nextAt = earlier(p.nextAt, now.Add(p.interval()))
	}
}

// Resumed says that the process was paused. A reader reads at once.
func (p *Plan) Resumed(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reader {
		p.nextAt = earlier(p.nextAt, now.Add(p.upTo(p.config.WatchPause)))
	}
}

// ConfirmedAt returns when the source last confirmed the state, or the zero
// time.
func (p *Plan) ConfirmedAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.confirmedAt
}

// meanInterval is the time in which each host may read once.
func (p *Plan) meanInterval() time.Duration {
	hosts := p.hosts
	if hosts == 0 {
		hosts = p.config.ExpectedHosts
	}
	return time.Duration(float64(hosts) / p.config.FallbackRate * float64(time.Second))
}

// interval draws a time around the mean interval.
func (p *Plan) interval() time.Duration {
	mean := p.meanInterval()
	return mean/2 + p.upTo(mean)
}

func (p *Plan) upTo(limit time.Duration) time.Duration {
	return time.Duration(p.random.Int64N(int64(limit) + 1))
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
