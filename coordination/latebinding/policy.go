// Package latebinding decides, at the entry node, whether the guard of a backend server
// without a free slot refuses a call, so that the entry node sends it to another one.
//
// A node sends few calls to each backend server of a large service, so its load hints are
// old. It therefore can't know which backend server has a free slot, but the guard does.
// Only when several of them had none, the call waits.
package latebinding

import (
	"time"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/coordination/retry"
	"github.com/wasabiport/wasabiport/state"
)

// Defaults of Config.
const (
	DefaultMinServers = 16
	DefaultMaxPasses  = 3
	DefaultMinPause   = 25 * time.Millisecond
	DefaultMaxPause   = 2 * time.Second
)

// Config holds the settings of a Policy.
type Config struct {
	// MinServers is the number of backend servers of a service from which its calls
	// may be passed on. Among fewer, load hints are recent enough. Default 16.
	MinServers int
	// MaxPasses is how often one call may be passed on. Each one costs a round trip
	// between two nodes. Default 3.
	MaxPasses int
	// MinPause is how long no call to a service is passed on after one that was refused
	// MaxPasses times, because the service is full. The pause doubles up to MaxPause
	// while it stays full. Default 25 ms and 2 seconds.
	MinPause, MaxPause time.Duration
}

// Policy decides for all calls of an entry node. It is safe for concurrent use; its state
// is sharded by service.
type Policy struct {
	config   Config
	services *state.ShardedMap[state.ServiceName, fullness]
}

// fullness is what this node knows of the free slots of a service.
type fullness struct {
	// pause is the length of the latest pause. A call that is sent after it and finds a
	// free slot resets it.
	pause       time.Duration
	pausedUntil time.Time
}

// NewPolicy returns a policy that knows no service to be full.
func NewPolicy(config Config) *Policy {
	if config.MinServers == 0 {
		config.MinServers = DefaultMinServers
	}
	if config.MaxPasses == 0 {
		config.MaxPasses = DefaultMaxPasses
	}
	if config.MinPause == 0 {
		config.MinPause = DefaultMinPause
	}
	if config.MaxPause == 0 {
		config.MaxPause = DefaultMaxPause
	}
	return &Policy{config: config, services: state.NewShardedMap[state.ServiceName, fullness](state.DefaultShardCount)}
}

// MayPassOn returns the value of call.Head.MayPassOn for the next attempt of a call to a
// service with the given number of backend servers. passes is how often it was passed on
// already. A call with an idempotency key is bound to one guard, a suspect waits for
// exclusive use, and a repeat was charged to the budget for this attempt.
func (p *Policy) MayPassOn(now time.Time, head call.Head, servers, passes int) bool {
	if servers < p.config.MinServers || passes >= min(p.config.MaxPasses, servers-1) {
		return false
	}
	if retry.RunsAtMostOnce(head) || head.Suspect || head.ReachedAttempts > 0 {
		return false
	}
	service, _ := p.services.Get(head.Service)
	return passes > 0 || !now.Before(service.pausedUntil)
}

// ObserveBusy records that guards refused a call for the passes-th time because they had
// no free slot. sentAt is when the call was sent for the first time.
func (p *Policy) ObserveBusy(now, sentAt time.Time, service state.ServiceName, passes int) {
	if passes < p.config.MaxPasses {
		return
	}
	p.services.Update(service, func(current fullness, _ bool) (fullness, bool) {
		if sentAt.Before(current.pausedUntil) {
			return current, true
		}
		current.pause = min(max(2*current.pause, p.config.MinPause), p.config.MaxPause)
		current.pausedUntil = now.Add(current.pause)
		return current, true
	})
}

// ObserveAccepted records that a call that might be passed on was not. Calls that were
// sent before the latest pause ended say nothing about the time after it.
func (p *Policy) ObserveAccepted(sentAt time.Time, service state.ServiceName) {
	if current, ok := p.services.Get(service); !ok || current.pause == 0 || sentAt.Before(current.pausedUntil) {
		return
	}
	p.services.Update(service, func(current fullness, _ bool) (fullness, bool) {
		return fullness{}, false
	})
}
