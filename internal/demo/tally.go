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

// tally counts what callers saw, by priority class. Each class is a shard with
// its own lock.
type tally struct {
	classes [state.ClassCount]classTally
}

type classTally struct {
	mu         sync.Mutex
	calls      int
	done       int
	inTarget   int
	notRun     int
	mayHaveRun int
	cut        int
	wrong      int
	noRoute    int
	latency    *hdrhistogram.Histogram
	// notRunIDs are the ids of calls that were refused as not run.
	notRunIDs []string
	// onceIDs are the ids of calls that must run at most once.
	onceIDs []string
}

// counts is a copy of the counts of one class or of several.
type counts struct {
	calls, done, inTarget, notRun, mayHaveRun, cut, wrong, noRoute int
}

func newTally() *tally {
	t := &tally{}
	for i := range t.classes {
		t.classes[i].latency = hdrhistogram.New(1, maxLatencyMicros, latencyDigits)
	}
	return t
}

func (t *tally) add(result callResult) { t.classes[result.route.Class].add(result) }

func (c *classTally) add(result callResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	if !result.route.Idempotent {
		c.onceIDs = append(c.onceIDs, result.id)
	}
	switch {
	case result.cut:
		c.cut++
		return
	case result.wrong:
		c.wrong++
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

func (c *classTally) addDone(result callResult) {
	c.done++
	if result.latency <= result.route.LatencyTarget {
		c.inTarget++
	}
	// A latency beyond the histogram is longer than any call may take.
	_ = c.latency.RecordValue(min(result.latency.Microseconds(), maxLatencyMicros))
}

// of returns the counts of a class.
func (t *tally) of(class state.PriorityClass) counts {
	c := &t.classes[class]
	c.mu.Lock()
	defer c.mu.Unlock()
	return counts{c.calls, c.done, c.inTarget, c.notRun, c.mayHaveRun, c.cut, c.wrong, c.noRoute}
}

// total returns the counts of all classes.
func (t *tally) total() counts {
	var sum counts
	for _, class := range state.Classes() {
		sum = sum.plus(t.of(class))
	}
	return sum
}

func (c counts) plus(other counts) counts {
	return counts{
		calls:      c.calls + other.calls,
		done:       c.done + other.done,
		inTarget:   c.inTarget + other.inTarget,
		notRun:     c.notRun + other.notRun,
		mayHaveRun: c.mayHaveRun + other.mayHaveRun,
		cut:        c.cut + other.cut,
		wrong:      c.wrong + other.wrong,
		noRoute:    c.noRoute + other.noRoute,
	}
}

// quantile returns a quantile from 0 to 1 of the latency of answered calls.
func (t *tally) quantile(class state.PriorityClass, q float64) time.Duration {
	c := &t.classes[class]
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.latency.ValueAtQuantile(q*100)) * time.Microsecond
}

// notRunIDs returns the ids of all calls that were refused as not run.
func (t *tally) notRunIDs() []string {
	return t.ids(func(c *classTally) []string { return c.notRunIDs })
}

// onceIDs returns the ids of all calls that must run at most once.
func (t *tally) onceIDs() []string {
	return t.ids(func(c *classTally) []string { return c.onceIDs })
}

func (t *tally) ids(of func(*classTally) []string) []string {
	var ids []string
	for i := range t.classes {
		c := &t.classes[i]
		c.mu.Lock()
		ids = append(ids, of(c)...)
		c.mu.Unlock()
	}
	return ids
}
