package standin

import (
	"maps"
	"sync"
)

// runCounter counts the runs of calls by idempotency key and call id.
type runCounter struct {
	mu    sync.Mutex
	total int
	runs  map[string]int
}

func newRunCounter() runCounter { return runCounter{runs: make(map[string]int)} }

func (c *runCounter) add(keys ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total++
	for _, key := range keys {
		if key != "" {
			c.runs[key]++
		}
	}
}

func (c *runCounter) count(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[key]
}

func (c *runCounter) totalRuns() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.total
}

func (c *runCounter) byKey() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.runs)
}
