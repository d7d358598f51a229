package admission

import "time"

const (
	// overloadPause is how long no call of a class has to be refused for the
	// overload of the class to be over.
	overloadPause = time.Second
	// minComeBack and maxComeBack bound when refused calls are told to come
	// back.
	minComeBack = 300 * time.Millisecond
	maxComeBack = 2 * time.Second
)

// overload is a time in which calls of one class are refused for want of slots.
type overload struct {
	since, latest time.Time
}

// refused notes a refusal, and returns when to come back: an overload that has
// lasted for a while is expected to last as long again.
func (o *overload) refused(now time.Time) time.Duration {
	if now.Sub(o.latest) > overloadPause {
		o.since = now
	}
	o.latest = now
	return min(max(now.Sub(o.since), minComeBack), maxComeBack)
}
