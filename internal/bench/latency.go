package bench

import (
	"slices"
	"sync"
	"time"

	"gonum.org/v1/gonum/stat"
)

// latencies collects durations. It is safe for concurrent use.
type latencies struct {
	mu     sync.Mutex
	values []float64
}

func (l *latencies) add(duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.values = append(l.values, float64(duration)/float64(time.Millisecond))
}

// quantile returns the value in milliseconds that the given share of the durations
// do not exceed; 0 if there are none.
func (l *latencies) quantile(share float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.values) == 0 {
		return 0
	}
	slices.Sort(l.values)
	return stat.Quantile(share, stat.Empirical, l.values, nil)
}

// count returns the number of durations.
func (l *latencies) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.values)
}

// shareWithin returns the share of durations that do not exceed a bound; 0 if there
// are none.
func (l *latencies) shareWithin(bound time.Duration) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	met := 0
	for _, value := range l.values {
		if value <= float64(bound)/float64(time.Millisecond) {
			met++
		}
	}
	return float64(met) / float64(max(1, len(l.values)))
}
