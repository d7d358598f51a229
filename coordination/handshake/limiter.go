// Package handshake limits how fast a node accepts new sessions, so that a
// herd of reconnecting peers does not take the processor from calls.
package handshake

import (
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Config holds the settings of a Limiter.
type Config struct {
	// PerSecond is the sustained rate of handshakes. A larger rate brings a
	// herd back sooner and takes more processor time from calls.
	PerSecond float64
	// Burst is the number of handshakes that may start at once.
	Burst int
	// MaxRetryAfter bounds the time after which a refused peer comes back.
	MaxRetryAfter time.Duration
}

// DefaultConfig returns the settings for a fleet of the design size.
func DefaultConfig() Config {
	return Config{PerSecond: 50, Burst: 32, MaxRetryAfter: 10 * time.Second}
}

// Decision is the answer to a peer that wants a session.
type Decision struct {
	Admitted bool
	// RetryAfter says when a refused peer is to come back.
	RetryAfter time.Duration
}

// Limiter decides which handshakes go ahead. It is safe for use by many
// threads.
type Limiter struct {
	config     Config
	handshakes *rate.Limiter
	// comebacks books refused peers one after another at the same rate, so
	// that they don't return all at once.
	comebacks *rate.Limiter

	mu     sync.Mutex
	random *rand.Rand
}

// NewLimiter returns a limiter with a full bucket.
func NewLimiter(config Config, random *rand.Rand) *Limiter {
	return &Limiter{
		config:     config,
		handshakes: rate.NewLimiter(rate.Limit(config.PerSecond), config.Burst),
		comebacks:  rate.NewLimiter(rate.Limit(config.PerSecond), 1),
		random:     random,
	}
}

// Admit decides on one handshake.
func (l *Limiter) Admit(now time.Time) Decision {
	if l.handshakes.AllowN(now, 1) {
		return Decision{Admitted: true}
	}
	booked := l.comebacks.ReserveN(now, 1).DelayFrom(now)
	return Decision{RetryAfter: l.jitter(booked)}
}

// jitter adds up to half of the wait. Waits beyond the maximum are spread over
// its upper half.
func (l *Limiter) jitter(wait time.Duration) time.Duration {
	interval := time.Duration(float64(time.Second) / l.config.PerSecond)
	wait = min(wait+interval, l.config.MaxRetryAfter/2)
	l.mu.Lock()
	defer l.mu.Unlock()
	return wait + time.Duration(l.random.Int64N(int64(wait)/2+1))
}
