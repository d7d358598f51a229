package standin

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// readCounter counts reads and limits their rate.
type readCounter struct {
	limiter *rate.Limiter

	mu       sync.Mutex
	total    int
	second   int64
	inSecond int
	peak     int
}

func newReadCounter(readsPerSecond int) readCounter {
	return readCounter{limiter: rate.NewLimiter(rate.Limit(readsPerSecond), readsPerSecond)}
}

// allow counts a read and reports whether it is within the rate limit.
func (c *readCounter) allow(now time.Time) bool {
	c.count(now)
	return c.limiter.AllowN(now, 1)
}

func (c *readCounter) count(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if second := now.Unix(); second != c.second {
		c.second = second
		c.inSecond = 0
	}
	c.total++
	c.inSecond++
	c.peak = max(c.peak, c.inSecond)
}

// resetPeak restarts the measurement of the peak rate.
func (c *readCounter) resetPeak() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peak = 0
	c.inSecond = 0
}

func (c *readCounter) counts() (total, peak int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.total, c.peak
}
