// Package retry decides, at the entry node, whether a refused attempt is retried
// or the refusal is returned to the caller.
//
// Only refusals are retried. A response from a backend server is returned to the
// caller regardless of its status. In a chain of services, therefore, only the
// service that received the refusal retries, and retries do not multiply along the
// chain.
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
	// MaxAttempts is the maximum number of attempts of one call, including the
	// first one. Default 3.
	MaxAttempts int
	// BaseDelay is the maximum delay before the second attempt at the same
	// backend server. The maximum doubles with each attempt (exponential
	// backoff), and the delay is chosen uniformly between 0 and the maximum
	// (full jitter). Default 10 milliseconds.
	BaseDelay time.Duration
	// MaxDelay is the upper limit of all delays. Default 1 second.
	MaxDelay time.Duration
	// GuardsDetectCrashes means that guards detect which failures are crashes. A
	// retry after a failure is then not marked as suspect. Default false.
	GuardsDetectCrashes bool
	// ChargeReachedOnly means that a retry is charged to the budget only if the
	// attempt before it has reached a backend server. Retries after refusals by
	// guards are then free: either no attempt has reached a backend server, or
	// the one that was refused has been charged. Default false.
	ChargeReachedOnly bool
}

// Action is the reaction to a refusal.
type Action uint8

// The actions.
const (
	// ActionReturnRefusal returns Decision.Refusal to the caller.
	ActionReturnRefusal Action = iota
	// ActionRetryOtherServer retries on a backend server that has not been tried
	// yet.
	ActionRetryOtherServer
	// ActionRetrySameServer retries on the same backend server after
	// Decision.Delay, because only its guard can have the record of the call.
	ActionRetrySameServer
)

// Decision is the result of Policy.Decide.
type Decision struct {
	Action Action
	// Delay is the time to wait before the next attempt.
	Delay time.Duration
	// Suspect is the value of call.Head.Suspect for the next attempt. It is true
	// if an earlier attempt may have crashed its backend server.
	Suspect bool
	// Refusal applies to the call as a whole, not only to its last attempt. Set
	// for ActionReturnRefusal.
	Refusal *state.Refusal
}

// Policy decides whether to retry. It is safe for concurrent use.
type Policy struct {
	config Config
	budget *Budget

	mu     sync.Mutex
	random *rand.Rand
}

// NewPolicy returns a policy whose retries are charged to budget.
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

// Decide returns the reaction to the refusal of an attempt. attempts is the number
// of attempts so far. A call that is not idempotent is never retried after an
// attempt that may have run.
func (p *Policy) Decide(now time.Time, head call.Head, refusal *state.Refusal, attempts int) Decision {
	action := nextAction(head, refusal)
	if refusal.ReachedBackendServer {
		head.ReachedAttempts++
	}
	exhausted := head.MaxReachedAttempts > 0 && head.ReachedAttempts >= head.MaxReachedAttempts
	if action == ActionReturnRefusal || attempts >= p.config.MaxAttempts || exhausted {
		return returnRefusal(head, refusal)
	}
	var delay time.Duration
	if action == ActionRetrySameServer {
		delay = p.delay(attempts)
	}
	if !now.Add(delay).Before(head.Deadline) || !p.tryCharge(head, refusal) {
		return returnRefusal(head, refusal)
	}
	failed := refusal.Reason == state.RefusedBackendServerFailed && !p.config.GuardsDetectCrashes
	suspect := head.Suspect || failed
	return Decision{Action: action, Delay: delay, Suspect: suspect}
}

// tryCharge charges another attempt to the budget unless the attempt is free. It
// returns false if the budget does not allow the attempt.
func (p *Policy) tryCharge(head call.Head, refusal *state.Refusal) bool {
	if p.config.ChargeReachedOnly && !refusal.ReachedBackendServer {
		return true
	}
	return p.budget.TryWithdraw(head.Service)
}

// delay returns a random delay for exponential backoff with full jitter.
func (p *Policy) delay(attempts int) time.Duration {
	maxDelay := p.config.BaseDelay
	for i := 1; i < attempts && maxDelay < p.config.MaxDelay; i++ {
		maxDelay *= 2
	}
	maxDelay = min(maxDelay, p.config.MaxDelay)
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.random.Int64N(int64(maxDelay) + 1))
}

// RunsAtMostOnce reports whether only one guard may run the call: the one that
// keeps the record of its idempotency key.
func RunsAtMostOnce(head call.Head) bool { return head.IdempotencyKey != "" && !head.Idempotent }

func nextAction(head call.Head, refusal *state.Refusal) Action {
	switch {
	case refusal.Outcome == state.OutcomeMayHaveRun && !head.Idempotent:
		return ActionReturnRefusal
	case !isRetryable(refusal.Reason):
		return ActionReturnRefusal
	case RunsAtMostOnce(head) && refusal.Reason != state.RefusedDraining:
		return ActionRetrySameServer
	default:
		return ActionRetryOtherServer
	}
}

// isRetryable reports whether another attempt may succeed.
func isRetryable(reason state.RefusalReason) bool {
	switch reason {
	case state.RefusedQueueFull,
		state.RefusedNoBackendServer,
		state.RefusedDeadline,
		state.RefusedDraining,
		state.RefusedNotReady,
		state.RefusedBehind,
		state.RefusedUnreachable,
		state.RefusedBackendServerFailed,
		state.RefusedShed,
		state.RefusedRetryBudget,
		state.RefusedBusy:
		return true
	default:
		return false
	}
}

// returnRefusal returns the decision to end the call. Its refusal applies to the
// call as a whole.
func returnRefusal(head call.Head, refusal *state.Refusal) Decision {
	if refusal.Reason == state.RefusedBusy {
		full := *refusal
		full.Reason = state.RefusedQueueFull
		refusal = &full
	}
	if recordNotConsulted(refusal.Reason) {
		refusal = RefusalWithoutRecord(head, refusal)
	}
	return Decision{Action: ActionReturnRefusal, Refusal: refusal}
}

// CombineRefusals returns the refusal of a call after two refused attempts: the
// second one, with OutcomeMayHaveRun if the call may have run in either attempt.
// first is nil if there was only one attempt.
func CombineRefusals(first, second *state.Refusal) *state.Refusal {
	if first == nil || first.Outcome == state.OutcomeNotRun {
		return second
	}
	combined := *second
	combined.Outcome = first.Outcome
	return &combined
}

// RefusalWithoutRecord returns the refusal of a call when the guard that may have
// the record of its idempotency key was not consulted. The outcome becomes
// OutcomeMayHaveRun, because an earlier call with the key may have run there.
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

// recordNotConsulted reports whether a refusal with this reason is made without
// consulting the record of the call's idempotency key.
func recordNotConsulted(reason state.RefusalReason) bool {
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
