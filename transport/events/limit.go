package events

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Counter counts lines that were left out.
type Counter interface{ Inc() }

// LineLimiter bounds the log lines of one kind. It is safe for use by many threads.
type LineLimiter struct {
	limiter *rate.Limiter
	// total counts all lines that were left out.
	total Counter
	// leftOut counts the lines that were not written since the last one.
	leftOut atomic.Int64
}

// NewLineLimiter returns a limit of perSecond lines a second and burst lines at
// once.
func NewLineLimiter(perSecond float64, burst int, leftOut Counter) *LineLimiter {
	return &LineLimiter{limiter: rate.NewLimiter(rate.Limit(perSecond), burst), total: leftOut}
}

// Allow asks to write one line, and returns the number of lines before it that
// were left out since the last one. It returns false when the line is to be
// left out.
func (l *LineLimiter) Allow(now time.Time) (leftOut int64, ok bool) {
	if !l.limiter.AllowN(now, 1) {
		l.leftOut.Add(1)
		l.total.Inc()
		return 0, false
	}
	return l.leftOut.Swap(0), true
}
