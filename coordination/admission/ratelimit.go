package admission

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/wasabiport/wasabiport/coordination/call"
)

const (
	// rateLimitBurst is the time whose calls may start at once under a rate limit.
	rateLimitBurst = 250 * time.Millisecond
	// minRatePerSecond is the rate, in calls per second, at which a backend server
	// with a lower limit is still called. Only an answer shows that a limit has ended.
	minRatePerSecond = 0.1
)

// rateLimit spaces the calls to a backend server that takes only some per second. The
// zero value does not limit them.
type rateLimit struct {
	limit  call.RateLimit
	bucket *rate.Limiter
}

// set replaces the limit. Calls that have started count towards the new one.
func (r *rateLimit) set(now time.Time, limit call.RateLimit) {
	if limit == r.limit {
		return
	}
	r.limit = limit
	if !limit.Limited {
		r.bucket = nil
		return
	}
	perSecond := rate.Limit(max(limit.PerSecond, minRatePerSecond))
	burst := max(1, int(float64(perSecond)*rateLimitBurst.Seconds()))
	if r.bucket == nil {
		r.bucket = rate.NewLimiter(perSecond, burst)
		return
	}
	r.bucket.SetLimitAt(now, perSecond)
	r.bucket.SetBurstAt(now, burst)
}

// wait returns the time until the given number of calls may have started.
func (r *rateLimit) wait(now time.Time, calls int) time.Duration {
	if r.bucket == nil {
		return 0
	}
	missing := float64(calls) - r.bucket.TokensAt(now)
	return time.Duration(max(0, missing) / float64(r.bucket.Limit()) * float64(time.Second))
}

// take counts a call that starts.
func (r *rateLimit) take(now time.Time) {
	if r.bucket != nil {
		r.bucket.AllowN(now, 1)
	}
}

// slots returns how many slots calls of the given service time keep in use at the
// limit, at most the given number.
func (r *rateLimit) slots(slots int, service time.Duration) int {
	if r.bucket == nil || service <= 0 {
		return slots
	}
	inUse := float64(r.bucket.Limit()) * service.Seconds()
	return min(slots, max(1, int(inUse+0.5)))
}
