// Package backoff computes retry delays.
package backoff

import (
	"math/rand/v2"
	"time"
)

// Policy is an exponential backoff with full jitter: each delay is drawn
// uniformly between zero and a bound that doubles with every failure. Full
// jitter keeps callers that failed at the same time from retrying at the same
// time.
type Policy struct {
	// Base is the bound of the first delay.
	Base time.Duration
	// Max is the largest bound.
	Max time.Duration
}

// Bound returns the upper bound of the delay after the given number of
// consecutive failures, starting at 1.
func (p Policy) Bound(failures int) time.Duration {
	bound := p.Base
	for range failures - 1 {
		if bound >= p.Max {
			break
		}
		bound *= 2
	}
	return min(bound, p.Max)
}

// Delay draws the delay after the given number of consecutive failures.
func (p Policy) Delay(failures int, random *rand.Rand) time.Duration {
	return time.Duration(random.Int64N(int64(p.Bound(failures)) + 1))
}
