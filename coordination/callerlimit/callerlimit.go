// Package callerlimit limits the calls of each caller at an entry node: their
// rate per route, and their share of the calls in flight.
package callerlimit

import (
	"hash/maphash"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"golang.org/x/time/rate"

	"github.com/wasabiport/wasabiport/state"
)

// Defaults of Config.
const (
	DefaultMaxRateLimiters = 16_384
	DefaultMaxInFlight     = 4096
)

const shardCount = 32

// Config holds the settings of Limits.
type Config struct {
	// MaxRateLimiters bounds the number of rate limiters, one for each pair of
	// caller and route. The limiter of an evicted pair restarts with a full
	// burst. Default 16384.
	MaxRateLimiters int
	// MaxInFlight bounds the calls in flight at this node. Default 4096.
	MaxInFlight int
}

// Limits holds the rate limiters and the calls in flight of all callers at one
// entry node. It is safe for concurrent use; rate limiters are sharded by
// caller and route.
type Limits struct {
	rates  [shardCount]rateShard
	seed   maphash.Seed
	shares shares
}

type rateKey struct {
	caller state.CallerName
	route  state.RouteName
}

type rateShard struct {
	mu       sync.Mutex
	limiters *simplelru.LRU[rateKey, *rate.Limiter]
}

// New returns limits without any calls counted.
func New(config Config) *Limits {
	if config.MaxRateLimiters == 0 {
		config.MaxRateLimiters = DefaultMaxRateLimiters
	}
	if config.MaxInFlight == 0 {
		config.MaxInFlight = DefaultMaxInFlight
	}
	limits := &Limits{seed: maphash.MakeSeed(), shares: newShares(config.MaxInFlight)}
	for i := range limits.rates {
		// NewLRU returns an error only for a size below one.
		limits.rates[i].limiters, _ = simplelru.NewLRU[rateKey, *rate.Limiter](
			max(1, config.MaxRateLimiters/shardCount), nil)
	}
	return limits
}

// Begin counts the start of a call. If it returns nil, End must be called when
// the call has ended.
func (l *Limits) Begin(now time.Time, caller state.CallerName, route state.Route) *state.Refusal {
	if refusal := l.checkRate(now, caller, route); refusal != nil {
		return refusal
	}
	return l.shares.begin(caller)
}

// End counts the end of a call for which Begin returned nil.
func (l *Limits) End(caller state.CallerName) { l.shares.end(caller) }

func (l *Limits) checkRate(now time.Time, caller state.CallerName, route state.Route) *state.Refusal {
	if route.CallerLimit == (state.CallerLimit{}) {
		return nil
	}
	key := rateKey{caller: caller, route: route.Name}
	reservation := l.limiter(now, key, route.CallerLimit).ReserveN(now, 1)
	if !reservation.OK() {
		return state.NotRun(state.RefusedCallerLimit, "the route takes no calls from the caller")
	}
	wait := reservation.DelayFrom(now)
	if wait == 0 {
		return nil
	}
	reservation.CancelAt(now)
	refusal := state.NotRun(state.RefusedCallerLimit, "the caller exceeds its rate on the route")
	refusal.RetryAfter = wait
	return refusal
}

func (l *Limits) limiter(now time.Time, key rateKey, limit state.CallerLimit) *rate.Limiter {
	shard := &l.rates[maphash.Comparable(l.seed, key)%shardCount]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	limiter, ok := shard.limiters.Get(key)
	if !ok {
		limiter = rate.NewLimiter(rate.Limit(limit.CallsPerSecond), limit.Burst)
		shard.limiters.Add(key, limiter)
		return limiter
	}
	if limiter.Limit() != rate.Limit(limit.CallsPerSecond) || limiter.Burst() != limit.Burst {
		limiter.SetLimitAt(now, rate.Limit(limit.CallsPerSecond))
		limiter.SetBurstAt(now, limit.Burst)
	}
	return limiter
}
