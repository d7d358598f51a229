// Package clientretry recognizes requests that clients retry after a refusal. The
// soft deadline of a retry is computed from the arrival of the first attempt,
// because the user has been waiting since then.
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

// maxAttemptsPerFingerprint is the maximum number of refused attempts that are
// remembered for requests with the same fingerprint.
const maxAttemptsPerFingerprint = 16

// Config holds the settings of a Tracker.
type Config struct {
	// MaxRequests is the maximum number of fingerprints that are remembered.
	// Requests beyond the limit count as new when they are retried. Default
	// 16384.
	MaxRequests int
	// Tolerance is the maximum difference between the deadlines of two attempts
	// of the same request. The deadlines differ because of the callers' clocks
	// and the network latency. A higher tolerance mistakes more requests with
	// the same fingerprint for retries. Default 50 ms.
	Tolerance time.Duration
}

// Attempt is one attempt of a request.
type Attempt struct {
	Fingerprint state.Fingerprint
	// Deadline is the time at which the client gives up on the request, including
	// all retries.
	Deadline time.Time
	// FirstArrival is the arrival time of the first attempt of the request.
	FirstArrival time.Time
}

// Tracker remembers refused attempts until their deadlines have passed. It is safe
// for concurrent use; attempts are sharded by fingerprint.
type Tracker struct {
	tolerance time.Duration
	refused   *state.ExpiringMap[state.Fingerprint, []Attempt]
}

// NewTracker returns a tracker without attempts.
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

// Begin returns the attempt that arrives now. If it has the same fingerprint and
// about the same deadline as a refused attempt, it counts as a client retry of that
// attempt and gets its FirstArrival. The refused attempt is then removed, so that
// it is matched only once.
func (t *Tracker) Begin(now time.Time, fingerprint state.Fingerprint, deadline time.Time) Attempt {
	attempt := Attempt{Fingerprint: fingerprint, Deadline: deadline, FirstArrival: now}
	t.refused.Update(now, fingerprint, func(attempts []Attempt, _ bool) state.Change[[]Attempt] {
		for i, earlier := range attempts {
			if earlier.Deadline.Sub(deadline).Abs() <= t.tolerance {
				attempt.FirstArrival = earlier.FirstArrival
				return storeUntilDeadline(append(attempts[:i:i], attempts[i+1:]...))
			}
		}
		return state.Change[[]Attempt]{}
	})
	return attempt
}

// RecordRefusal records that an attempt was refused and may be retried.
func (t *Tracker) RecordRefusal(now time.Time, attempt Attempt) {
	t.refused.Update(now, attempt.Fingerprint, func(attempts []Attempt, _ bool) state.Change[[]Attempt] {
		if len(attempts) == maxAttemptsPerFingerprint {
			attempts = attempts[1:]
		}
		return storeUntilDeadline(append(attempts[:len(attempts):len(attempts)], attempt))
	})
}

// storeUntilDeadline returns the change that stores attempts until the latest of
// their deadlines.
func storeUntilDeadline(attempts []Attempt) state.Change[[]Attempt] {
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
