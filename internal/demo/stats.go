package demo

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wasabiport/wasabiport/state"
)

const (
	maxLatencyMicros = int64(time.Minute / time.Microsecond)
	latencyDigits    = 3
)

// callStats collects the results of calls by priority class. Each class is a
// shard with a separate lock.
type callStats struct {
	classes [state.ClassCount]classStats
}

type classStats struct {
	mu          sync.Mutex
	calls       int
	done        int
	inTarget    int
	notRun      int
	mayHaveRun  int
	interrupted int
	incorrect   int
	noRoute     int
	latency     *hdrhistogram.Histogram
	// notRunIDs holds the ids of calls that were refused as not run.
	notRunIDs []string
	// nonIdempotentIDs holds the ids of calls that must run at most once.
	nonIdempotentIDs []string
}

// counts is a copy of the counts of one class or of several.
type counts struct {
	calls, done, inTarget, notRun, mayHaveRun, interrupted, incorrect, noRoute int
}

func newCallStats() *callStats {
	s := &callStats{}
	for i := range s.classes {
		s.classes[i].latency = hdrhistogram.New(1, maxLatencyMicros, latencyDigits)
	}
	return s
}

func (s *callStats) add(result callResult) { s.classes[result.route.Class].add(result) }

func (c *classStats) add(result callResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	if !result.route.Idempotent {
		c.nonIdempotentIDs = append(c.nonIdempotentIDs, result.id)
	}
	switch {
	case result.interrupted:
		c.interrupted++
		return
	case result.incorrect:
		c.incorrect++
	}
	if result.reason == state.RefusedNoRoute.String() {
		c.noRoute++
	}
	switch result.outcome {
	case state.OutcomeDone:
		c.addDone(result)
	case state.OutcomeNotRun:
		c.notRun++
		c.notRunIDs = append(c.notRunIDs, result.id)
	case state.OutcomeMayHaveRun:
		c.mayHaveRun++
	}
}

func (c *classStats) addDone(result callResult) {
	c.done++
	if result.latency <= result.route.LatencyTarget {
		c.inTarget++
	}
	// Latencies above the range of the histogram, which exceed every call
	// timeout, are recorded as its maximum.
	_ = c.latency.RecordValue(min(result.latency.Microseconds(), maxLatencyMicros))
}

// countsOf returns the counts of a class.
func (s *callStats) countsOf(class state.PriorityClass) counts {
	c := &s.classes[class]
	c.mu.Lock()
	defer c.mu.Unlock()
	return counts{c.calls, c.done, c.inTarget, c.notRun, c.mayHaveRun, c.interrupted, c.incorrect, c.noRoute}
}

// total returns the sum of the counts of all classes.
func (s *callStats) total() counts {
	var sum counts
	for _, class := range state.Classes() {
		sum = sum.plus(s.countsOf(class))
	}
	return sum
}

func (c counts) plus(other counts) counts {
	return counts{
		calls:       c.calls + other.calls,
		done:        c.done + other.done,
		inTarget:    c.inTarget + other.inTarget,
		notRun:      c.notRun + other.notRun,
		mayHaveRun:  c.mayHaveRun + other.mayHaveRun,
		interrupted: c.interrupted + other.interrupted,
		incorrect:   c.incorrect + other.incorrect,
		noRoute:     c.noRoute + other.noRoute,
	}
}

// quantile returns the latency quantile q, between 0 and 1, of the completed
// calls of a class.
func (s *callStats) quantile(class state.PriorityClass, q float64) time.Duration {
	c := &s.classes[class]
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.latency.ValueAtQuantile(q*100)) * time.Microsecond
}

// notRunIDs returns the ids of all calls that were refused as not run.
func (s *callStats) notRunIDs() []string {
	return s.ids(func(c *classStats) []string { return c.notRunIDs })
}

// nonIdempotentIDs returns the ids of all calls that must run at most once.
func (s *callStats) nonIdempotentIDs() []string {
	return s.ids(func(c *classStats) []string { return c.nonIdempotentIDs })
}

func (s *callStats) ids(idsOf func(*classStats) []string) []string {
	var ids []string
	for i := range s.classes {
		c := &s.classes[i]
		c.mu.Lock()
		ids = append(ids, idsOf(c)...)
		c.mu.Unlock()
	}
	return ids
}
