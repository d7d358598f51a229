package admission

import (
	"math"
	"sync"
	"time"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/state"
)

const (
	// linkShare is the share of the link that is planned for answers. The rest
	// carries requests, acknowledgements and messages between nodes.
	linkShare = 0.85
	// linkBurst is the link time that is saved while the link is idle. It covers
	// the time by which a timer may be late.
	linkBurst = 20 * time.Millisecond
	// maxSmallDebt bounds the debt up to which small answers are charged. They are
	// not held back, so a debt beyond the answers that can be in transit would delay
	// long answers after the link is free again.
	maxSmallDebt = 2 * time.Second
	// smallUseWindow is the time constant of the moving average of the bytes per
	// second of small answers.
	smallUseWindow = 2 * time.Second
	// pacedShare is the share of the link at which answers are sent. Below 1, the
	// queue of the network interface empties while long answers are paced.
	pacedShare = 0.95
	// maxPause bounds the time that a part of a long answer waits. Small answers don't
	// wait, so when they exceed the link alone, parts of long ones would wait forever.
	maxPause = 500 * time.Millisecond
	// minLongShare is the share of the rate that estimates assume for long answers
	// regardless of the small ones.
	minLongShare = 0.05
	// waitMargin is the factor by which estimated waits for the link exceed their mean,
	// because the answers ahead may be larger than expected. Without it, 14 of 1,173
	// calls in the simulation were refused after a wait; with 1.2, 1 of 1,192; with 1.3,
	// none.
	waitMargin = 1.3
)

// Link is the capacity of the network link of a host for the answers of its backend
// servers. All gates of the host share it. It has its own lock, is called by a gate
// under the lock of the gate, and calls nothing itself.
//
// It is a token bucket of bytes. An answer takes its expected size before the call
// runs, and the balance is negative while the answers that were admitted need more
// time on the link.
type Link struct {
	mu        sync.Mutex
	perSecond float64
	balance   float64
	updatedAt time.Time
	// small is the decaying sum of the bytes of small answers, see smallUseWindow.
	small float64
	// waiting holds the expected bytes of the long answers that wait, by class.
	waiting [state.ClassCount]float64
	used    float64
	// capacity is the rate at which answers are sent, in bytes per second, and sentAt
	// the time at which the link has sent all that was paced so far.
	capacity float64
	sentAt   time.Time
}

// LinkUse describes the use of a Link.
type LinkUse struct {
	// BytesPerSecond is the planned rate of answers.
	BytesPerSecond float64
	// UsedBytes is the total size of the answers that were admitted.
	UsedBytes float64
	// Debt is the time that the link needs for the answers that were admitted.
	Debt time.Duration
	// WaitingBytes is the expected size of the long answers that wait, by class.
	WaitingBytes [state.ClassCount]float64
}

// NewLink returns the link of a host that carries bytesPerSecond, or nil if that is
// not positive. A nil Link does not limit answers.
func NewLink(bytesPerSecond float64) *Link {
	if !(bytesPerSecond > 0) || math.IsInf(bytesPerSecond, 0) {
		return nil
	}
	perSecond := bytesPerSecond * linkShare
	return &Link{perSecond: perSecond, balance: perSecond * linkBurst.Seconds(), capacity: bytesPerSecond * pacedShare}
}

// Use returns the use of the link.
func (l *Link) Use(now time.Time) LinkUse {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	return LinkUse{
		BytesPerSecond: l.perSecond,
		UsedBytes:      l.used,
		Debt:           l.timeOf(max(0, -l.balance)),
		WaitingBytes:   l.waiting,
	}
}

// IsLong reports whether an answer occupies the link for long.
func (l *Link) IsLong(bytes int64) bool {
	return l != nil && call.LinkLoad{BytesPerSecond: l.perSecond}.IsLong(float64(bytes))
}

// Pace returns how long the sender of a part of an answer waits before it sends the
// part. Parts of long answers wait for their turn, so that a small answer never waits
// for more than about one part of them. Small answers don't wait.
func (l *Link) Pace(now time.Time, bytes int, long bool) time.Duration {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	wait := min(max(0, l.sentAt.Sub(now)), maxPause)
	l.sentAt = now.Add(wait + time.Duration(float64(bytes)/l.capacity*float64(time.Second)))
	if !long {
		return 0
	}
	return wait
}

// advance adds the tokens up to now.
func (l *Link) advance(now time.Time) {
	if l.updatedAt.IsZero() {
		l.updatedAt = now
	}
	elapsed := now.Sub(l.updatedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	l.updatedAt = now
	l.balance = min(l.balance+elapsed*l.perSecond, l.perSecond*linkBurst.Seconds())
	l.small *= math.Exp(-elapsed / smallUseWindow.Seconds())
}

func (l *Link) timeOf(bytes float64) time.Duration {
	return time.Duration(bytes / l.perSecond * float64(time.Second))
}

// wait returns the time until a long answer may be admitted.
func (l *Link) wait(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	if l.balance > 0 {
		return 0
	}
	// One nanosecond more than the debt, so that the balance is positive then.
	return l.timeOf(-l.balance) + 1
}

// take charges an answer that is admitted.
func (l *Link) take(now time.Time, bytes float64, long bool) (charged float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	if !long {
		l.small += max(0, bytes)
	}
	l.used += bytes
	return l.charge(bytes, long)
}

// correct changes the charge of an answer by a difference, and returns by how much it
// was changed.
func (l *Link) correct(now time.Time, difference float64, long bool) (charged float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	if !long {
		l.small = max(0, l.small+difference)
	}
	l.used += difference
	return l.charge(difference, long)
}

// charge takes bytes from the balance and returns how many it took.
func (l *Link) charge(bytes float64, long bool) float64 {
	if !long && bytes > 0 {
		bytes = min(bytes, max(0, l.balance+l.perSecond*maxSmallDebt.Seconds()))
	}
	l.balance -= bytes
	return bytes
}

// addWaiting changes the expected bytes of the long answers of a class that wait.
func (l *Link) addWaiting(class state.PriorityClass, bytes float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting[class] = max(0, l.waiting[class]+bytes)
}

// longRate returns the bytes per second that are left for long answers.
func (l *Link) longRate(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	return l.longRateLocked()
}

// longRateLocked is longRate for callers that hold the lock.
func (l *Link) longRateLocked() float64 {
	return max(l.perSecond-l.small/smallUseWindow.Seconds(), minLongShare*l.perSecond)
}

// estimateWait estimates the time until a long answer of a class may be admitted if
// no more urgent one arrives.
func (l *Link) estimateWait(now time.Time, class state.PriorityClass) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	ahead := max(0, -l.balance)
	for urgent := range class + 1 {
		ahead += l.waiting[urgent]
	}
	return time.Duration(waitMargin * ahead / l.longRateLocked() * float64(time.Second))
}
