// Package clientretry recognizes requests that come again after a refusal, so that
// the time by which their users want the answer is counted from the first
// attempt: a user does not wait anew with each attempt of a client.
package clientretry

import (
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// Defaults of Config.
const (
	DefaultMaxRequests = 16_384
	DefaultTolerance   = 50 * time.Millisecond
)

// maxAttemptsAlike bounds the refused attempts that are remembered of requests
// that are alike.
const maxAttemptsAlike = 16

// Config holds the settings of a Tracker.
type Config struct {
	// MaxRequests bounds the different requests that are remembered. Those
	// beyond it count as new when they come again. Default 16384.
	MaxRequests int
	// Tolerance is how far apart the deadlines of two attempts may lie that
	// belong together: the callers' clocks and the way to this node differ. A
	// longer one takes more requests that are merely alike for the same.
	// Default 50 ms.
	Tolerance time.Duration
}

// Attempt is one attempt of a request.
type Attempt struct {
	Fingerprint state.Fingerprint
	// Deadline is the time at which the client gives up, with all its attempts.
	Deadline time.Time
	// FirstArrival is when the first attempt of the request came.
	FirstArrival time.Time
}

// Tracker remembers the refused attempts until their clients have given up. It
// is safe for use by many threads; the attempts are in shards by fingerprint.
type Tracker struct {
	tolerance time.Duration
	refused   *state.ExpiringMap[state.Fingerprint, []Attempt]
}

// NewTracker returns a memory of nothing.
func NewTracker(config Config) *Tracker {
	if config.MaxRequests == 0 {
		config.MaxRequests = DefaultMaxRequests
	}
	if config.Tolerance == 0 {
		config.Tolerance = DefaultTolerance
	}
	return &Tracker{
		tolerance: config.Tolerance,
		refused: state.NewExpiringMap[state.Fingerprint, []Attempt](state.ExpiringMapConfig{
			Shards:    state.DefaultShardCount,
			MaxValues: config.MaxRequests,
			MaxBytes:  int64(config.MaxRequests),
		}),
	}
}

// Begin returns the attempt that has come now. An attempt that was refused with
// the same fingerprint and deadline belongs to the same request, and is
// forgotten: each of them comes again once.
func (m *Tracker) Begin(now time.Time, fingerprint state.Fingerprint, deadline time.Time) Attempt {
	attempt := Attempt{Fingerprint: fingerprint, Deadline: deadline, FirstArrival: now}
	m.refused.Update(now, fingerprint, func(held []Attempt, _ bool) state.Change[[]Attempt] {
		for i, earlier := range held {
			if earlier.Deadline.Sub(deadline).Abs() <= m.tolerance {
				attempt.FirstArrival = earlier.FirstArrival
				return keep(append(held[:i:i], held[i+1:]...))
			}
		}
		return state.Change[[]Attempt]{}
	})
	return attempt
}

// RecordRefusal tells that an attempt was refused, so that it may come again.
func (m *Tracker) RecordRefusal(now time.Time, attempt Attempt) {
	m.refused.Update(now, attempt.Fingerprint, func(held []Attempt, _ bool) state.Change[[]Attempt] {
		if len(held) == maxAttemptsAlike {
			held = held[1:]
		}
		return keep(append(held[:len(held):len(held)], attempt))
	})
}

// keep holds attempts until the last of their clients has given up.
func keep(attempts []Attempt) state.Change[[]Attempt] {
	if len(attempts) == 0 {
		return state.Change[[]Attempt]{Kind: state.ChangeRemove}
	}
	expires := attempts[0].Deadline
	for _, attempt := range attempts[1:] {
		if attempt.Deadline.After(expires) {
			expires = attempt.Deadline
		}
	}
	return state.Change[[]Attempt]{Kind: state.ChangePut, Value: attempts, Bytes: 1, Expires: expires}
}
