package callerlimit

import (
	"sync/atomic"

	"github.com/wasabiport/wasabiport/state"
)

// shares limits the calls in flight of each caller to the remaining capacity of
// the node. A single caller gets at most half of the node, and the more callers
// compete, the fewer calls each may hold. This leaves capacity for callers
// without calls in flight.
type shares struct {
	maxInFlight int64
	inFlight    atomic.Int64
	callers     *state.ShardedMap[state.CallerName, int64]
}

func newShares(maxInFlight int) shares {
	return shares{
		maxInFlight: int64(maxInFlight),
		callers:     state.NewShardedMap[state.CallerName, int64](state.DefaultShardCount),
	}
}

func (s *shares) begin(caller state.CallerName) *state.Refusal {
	if s.inFlight.Add(1) > s.maxInFlight {
		s.inFlight.Add(-1)
		return state.NotRun(state.RefusedCallerLimit, "the node has too many calls in flight")
	}
	admitted := false
	s.callers.Update(caller, func(held int64, present bool) (int64, bool) {
		remaining := s.maxInFlight - s.inFlight.Load() + 1
		admitted = held < max(1, remaining)
		if admitted {
			return held + 1, true
		}
		return held, present
	})
	if admitted {
		return nil
	}
	s.inFlight.Add(-1)
	return state.NotRun(state.RefusedCallerLimit, "the caller exceeds its share of the calls in flight")
}

func (s *shares) end(caller state.CallerName) {
	s.callers.Update(caller, func(held int64, _ bool) (int64, bool) {
		return held - 1, held > 1
	})
	s.inFlight.Add(-1)
}
