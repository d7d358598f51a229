// Package retry decides at the entry node what follows the refusal of an
// attempt: another attempt, or the answer to the caller.
//
// Only refusals are retried. An answer of a backend server goes to the caller
// whatever its status, so that of a chain of services only the one that got
// the refusal tries again.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/state"
)

// Defaults of Config.
const (
	DefaultMaxAttempts = 3
	DefaultBaseDelay   = 10 * time.Millisecond
	DefaultMaxDelay    = time.Second
)

// Config holds the settings of a Policy.
type Config struct {
	// MaxAttempts bounds the attempts of one call, the first included.
	// Default 3.
	MaxAttempts int
	// BaseDelay bounds the delay before the second attempt at the same
	// backend server. The bound doubles with each attempt, and the delay is
	// drawn evenly from 0 to the bound. Default 10 milliseconds.
	BaseDelay time.Duration
	// MaxDelay bounds every delay. Default 1 second.
	MaxDelay time.Duration
	// GuardsDetectCrashes says that guards find out themselves which failures are
	// crashes, so that a retry after a failure is no suspect. Default false.
	GuardsDetectCrashes bool
	// ChargeReachedOnly says that an attempt draws on the budget only when an
	// earlier one has reached a backend server. A refusal of a guard then costs
	// nothing. Default false.
	ChargeReachedOnly bool
}

// Action says what follows a refusal.
type Action uint8

// The actions.
const (
	// ActionReturnRefusal gives Decision.Refusal to the caller.
	ActionReturnRefusal Action = iota
	// ActionRetryOtherServer tries a backend server that was not tried.
	ActionRetryOtherServer
	// ActionRetrySameServer tries the same backend server again after
	// Decision.Delay, because only it can have the record of the call.
	ActionRetrySameServer
)

// Decision is what follows a refusal.
type Decision struct {
	Action Action
	// Delay is how long to wait before the next attempt.
	Delay time.Duration
	// Suspect says that the next attempt must carry call.Head.Suspect: the
	// last one may have crashed its backend server.
	Suspect bool
	// Refusal is true for the whole call, not just for its last attempt. Set
	// for ActionReturnRefusal.
	Refusal *state.Refusal
}

// Policy decides on retries. It is safe for use by many threads.
type Policy struct {
	config Config
	budget *Budget

	mu     sync.Mutex
	random *rand.Rand
}

// NewPolicy returns a policy that spends from budget.
func NewPolicy(config Config, budget *Budget, random *rand.Rand) *Policy {
	if config.MaxAttempts == 0 {
		config.MaxAttempts = DefaultMaxAttempts
	}
	if config.BaseDelay == 0 {
		config.BaseDelay = DefaultBaseDelay
	}
	if config.MaxDelay == 0 {
		config.MaxDelay = DefaultMaxDelay
	}
	return &Policy{config: config, budget: budget, random: random}
}

// Decide says what follows the refusal of an attempt. attempts counts the
// attempts so far. An attempt that was refused as MayHaveRun must be the last
// one of a call that is not idempotent; Decide never asks for another.
func (p *Policy) Decide(now time.Time, head call.Head, refusal *state.Refusal, attempts int) Decision {
	action := nextAction(head, refusal)
	if refusal.ReachedBackendServer {
		head.Arrivals++
	}
	spent := head.MaxArrivals > 0 && head.Arrivals >= head.MaxArrivals
	if action == ActionReturnRefusal || attempts >= p.config.MaxAttempts || spent {
		return answer(head, refusal)
	}
	var delay time.Duration
	if action == ActionRetrySameServer {
		delay = p.delay(attempts)
	}
	if !now.Add(delay).Before(head.Deadline) || !p.mayRepeat(head) {
		return answer(head, refusal)
	}
	failed := refusal.Reason == state.RefusedBackendServerFailed && !p.config.GuardsDetectCrashes
	suspect := head.Suspect || failed
	return Decision{Action: action, Delay: delay, Suspect: suspect}
}

// mayRepeat draws on the budget if the next attempt is to be paid for.
func (p *Policy) mayRepeat(head call.Head) bool {
	if p.config.ChargeReachedOnly && head.Arrivals == 0 {
		return true
	}
	return p.budget.TryWithdraw(head.Service)
}

func (p *Policy) delay(attempts int) time.Duration {
	bound := p.config.BaseDelay
	for i := 1; i < attempts && bound < p.config.MaxDelay; i++ {
		bound *= 2
	}
	bound = min(bound, p.config.MaxDelay)
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.random.Int64N(int64(bound) + 1))
}

// RunsAtMostOnce reports whether at most one guard may run the call: the one that keeps
// the record of its idempotency key.
func RunsAtMostOnce(head call.Head) bool { return head.IdempotencyKey != "" && !head.Idempotent }

func nextAction(head call.Head, refusal *state.Refusal) Action {
	switch {
	case refusal.Outcome == state.OutcomeMayHaveRun && !head.Idempotent:
		return ActionReturnRefusal
	case !worthRetrying(refusal.Reason):
		return ActionReturnRefusal
	case RunsAtMostOnce(head) && refusal.Reason != state.RefusedDraining:
		return ActionRetrySameServer
	default:
		return ActionRetryOtherServer
	}
}

// worthRetrying reports whether another attempt may fare better.
func worthRetrying(reason state.RefusalReason) bool {
	switch reason {
	case state.RefusedQueueFull,
		state.RefusedNoBackendServer,
		state.RefusedDeadline,
		state.RefusedDraining,
		state.RefusedNotReady,
		state.RefusedBehind,
		state.RefusedUnreachable,
		state.RefusedBackendServerFailed,
		state.RefusedShed:
		return true
	default:
		return false
	}
}

// answer returns the refusal that is true for the whole call.
func answer(head call.Head, refusal *state.Refusal) Decision {
	if recordUnread(refusal.Reason) {
		refusal = RefusalWithoutRecord(head, refusal)
	}
	return Decision{Action: ActionReturnRefusal, Refusal: refusal}
}

// CombineRefusals returns the refusal that is true for a call after two attempts. A call
// that may have run in the first is never called not run because of the
// second. The first is nil when there was none.
func CombineRefusals(first, second *state.Refusal) *state.Refusal {
	if first == nil || first.Outcome == state.OutcomeNotRun {
		return second
	}
	joined := *second
	joined.Outcome = first.Outcome
	return &joined
}

// RefusalWithoutRecord returns the refusal that is true for a call when the guard that
// would have the record of its idempotency key was not asked: an earlier call
// with the key may have run there.
func RefusalWithoutRecord(head call.Head, refusal *state.Refusal) *state.Refusal {
	if !RunsAtMostOnce(head) || refusal.Outcome != state.OutcomeNotRun {
		return refusal
	}
	return &state.Refusal{
		Reason:     refusal.Reason,
		Outcome:    state.OutcomeMayHaveRun,
		Detail:     "the record of the idempotency key was not read: " + refusal.Detail,
		RetryAfter: refusal.RetryAfter,
	}
}

// recordUnread reports whether the refusal of an attempt came without a look
// at the record of the call's key.
func recordUnread(reason state.RefusalReason) bool {
	switch reason {
	case state.RefusedUnreachable,
		state.RefusedNoBackendServer,
		state.RefusedBehind,
		state.RefusedNotReady:
		return true
	default:
		return false
	}
}
