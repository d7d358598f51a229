// Package handshake limits the rate at which a node accepts new sessions, so
// that a reconnect storm does not take CPU time from calls.
package handshake

import (
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Config holds the settings of a Limiter.
type Config struct {
	// PerSecond is the sustained rate of handshakes. With a larger rate, peers
	// reconnect sooner after a reconnect storm and take more CPU time from
	// calls.
	PerSecond float64
	// Burst is the number of handshakes that may start at the same time.
	Burst int
	// MaxRetryAfter bounds the delay after which a refused peer retries.
	MaxRetryAfter time.Duration
}

// DefaultConfig returns the settings for a fleet of the design size.
func DefaultConfig() Config {
	return Config{PerSecond: 50, Burst: 32, MaxRetryAfter: 10 * time.Second}
}

// Decision is the result of Admit.
type Decision struct {
	Admitted bool
	// RetryAfter is how long a refused peer has to wait before it tries again.
	RetryAfter time.Duration
}

// Limiter decides which handshakes are admitted. It is safe for concurrent use.
type Limiter struct {
	config     Config
	handshakes *rate.Limiter
	// retries reserves a time for each refused peer at the sustained rate, so
	// that they don't all retry at once.
	retries *rate.Limiter

	mu     sync.Mutex
	random *rand.Rand
}

// NewLimiter returns a limiter with a full bucket.
func NewLimiter(config Config, random *rand.Rand) *Limiter {
	return &Limiter{
		config:     config,
		handshakes: rate.NewLimiter(rate.Limit(config.PerSecond), config.Burst),
		retries:    rate.NewLimiter(rate.Limit(config.PerSecond), 1),
		random:     random,
	}
}

// Admit decides whether one handshake is admitted.
func (l *Limiter) Admit(now time.Time) Decision {
	if l.handshakes.AllowN(now, 1) {
		return Decision{Admitted: true}
	}
	delay := l.retries.ReserveN(now, 1).DelayFrom(now)
	return Decision{RetryAfter: l.jitter(delay)}
}

// jitter adds one interval and then, at random, up to half of the wait. The
// wait is first limited to half of MaxRetryAfter, so that the result stays
// within it.
func (l *Limiter) jitter(wait time.Duration) time.Duration {
	interval := time.Duration(float64(time.Second) / l.config.PerSecond)
	wait = min(wait+interval, l.config.MaxRetryAfter/2)
	l.mu.Lock()
	defer l.mu.Unlock()
	return wait + time.Duration(l.random.Int64N(int64(wait)/2+1))
}
