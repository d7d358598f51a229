package standin

import (
	"maps"
	"sync"
)

// runCounter counts how often calls have run, by idempotency key and call id.
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

func (c *runCounter) of(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[key]
}

func (c *runCounter) sum() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.total
}

func (c *runCounter) all() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.runs)
}
