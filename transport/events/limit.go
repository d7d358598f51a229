package events

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Counter counts suppressed lines.
type Counter interface{ Inc() }

// LineLimiter limits the rate of log lines of one kind. It is safe for
// concurrent use.
type LineLimiter struct {
	limiter *rate.Limiter
	// total counts all suppressed lines.
	total Counter
	// suppressed counts the lines suppressed since the last allowed one.
	suppressed atomic.Int64
}

// NewLineLimiter returns a token bucket limiter that allows perSecond lines per
// second and bursts of burst lines.
func NewLineLimiter(perSecond float64, burst int, suppressed Counter) *LineLimiter {
	return &LineLimiter{limiter: rate.NewLimiter(rate.Limit(perSecond), burst), total: suppressed}
}

// Pending returns the number of lines suppressed since the last allowed one.
func (l *LineLimiter) Pending() int64 { return l.suppressed.Load() }

// Force takes the number of lines that were suppressed since the previous one, for a
// line that must be written whatever the limit.
func (l *LineLimiter) Force() (suppressed int64) { return l.suppressed.Swap(0) }

// Allow reports whether one line may be written, and if so, how many lines were
// suppressed since the previous one.
func (l *LineLimiter) Allow(now time.Time) (suppressed int64, ok bool) {
	if !l.limiter.AllowN(now, 1) {
		l.suppressed.Add(1)
		l.total.Inc()
		return 0, false
	}
	return l.suppressed.Swap(0), true
}
