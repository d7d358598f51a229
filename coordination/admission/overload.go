package admission

import "time"

const (
	// overloadQuietPeriod is the time without refused calls after which the
	// overload of a class is over.
	overloadQuietPeriod = time.Second
	// minRetryAfter and maxRetryAfter bound the Retry-After time of refused
	// calls.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// overload is a period during which calls of one class are refused for lack of
// slots.
type overload struct {
	since, latestRefusal time.Time
}

// recordRefusal records a refusal and returns the time after which to retry: an
// overload is expected to last as long again as it has lasted so far.
func (o *overload) recordRefusal(now time.Time) time.Duration {
	if now.Sub(o.latestRefusal) > overloadQuietPeriod {
		o.since = now
	}
	o.latestRefusal = now
	return min(max(now.Sub(o.since), minRetryAfter), maxRetryAfter)
}
