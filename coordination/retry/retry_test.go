package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/coordination/retry"
	"github.com/wasabiport/wasabiport/state"
)

var now = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

func newPolicy(budget retry.BudgetConfig) *retry.Policy {
	return retry.NewPolicy(retry.Config{}, retry.NewBudget(budget), rand.New(rand.NewPCG(1, 2)))
}

func TestDecide(t *testing.T) {
	idempotent := call.Head{Idempotent: true, Deadline: now.Add(time.Minute)}
	plain := call.Head{Deadline: now.Add(time.Minute)}
	keyed := call.Head{IdempotencyKey: "k", Deadline: now.Add(time.Minute)}
	late := call.Head{Idempotent: true, Deadline: now}
	tests := map[string]struct {
		head     call.Head
		refusal  *state.Refusal
		attempts int
		action   retry.Action
		outcome  state.Outcome
	}{
		"not run": {
			head: plain, refusal: state.NotRun(state.RefusedQueueFull, ""), attempts: 1,
			action: retry.ActionRetryOtherServer,
		},
		"guard that does not have its backend server yet": {
			head: plain, refusal: state.NotRun(state.RefusedNoBackendServer, ""), attempts: 1,
			action: retry.ActionRetryOtherServer,
		},
		"may have run, idempotent": {
			head: idempotent, refusal: state.MayHaveRun(state.RefusedBackendServerFailed, ""), attempts: 1,
			action: retry.ActionRetryOtherServer,
		},
		"may have run, not idempotent": {
			head: plain, refusal: state.MayHaveRun(state.RefusedBackendServerFailed, ""), attempts: 1,
			outcome: state.OutcomeMayHaveRun,
		},
		"last attempt": {
			head: plain, refusal: state.NotRun(state.RefusedQueueFull, ""), attempts: 3,
			outcome: state.OutcomeNotRun,
		},
		"deadline passed": {
			head: late, refusal: state.NotRun(state.RefusedQueueFull, ""), attempts: 1,
			outcome: state.OutcomeNotRun,
		},
		"quarantined": {
			head: idempotent, refusal: state.NotRun(state.RefusedQuarantined, ""), attempts: 1,
			outcome: state.OutcomeNotRun,
		},
		"canceled": {
			head: idempotent, refusal: state.MayHaveRun(state.RefusedCanceled, ""), attempts: 1,
			outcome: state.OutcomeMayHaveRun,
		},
		"key whose guard is full": {
			head: keyed, refusal: state.NotRun(state.RefusedQueueFull, ""), attempts: 1,
			action: retry.ActionRetrySameServer,
		},
		"key whose guard drains": {
			head: keyed, refusal: state.NotRun(state.RefusedDraining, ""), attempts: 1,
			action: retry.ActionRetryOtherServer,
		},
		"key whose guard is unreachable": {
			head: keyed, refusal: state.NotRun(state.RefusedUnreachable, ""), attempts: 3,
			outcome: state.OutcomeMayHaveRun,
		},
		"key whose guard stayed full": {
			head: keyed, refusal: state.NotRun(state.RefusedQueueFull, ""), attempts: 3,
			outcome: state.OutcomeNotRun,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			decision := newPolicy(retry.BudgetConfig{}).Decide(now, test.head, test.refusal, test.attempts)
			require.Equal(t, test.action, decision.Action)
			if test.action != retry.ActionReturnRefusal {
				require.Equal(t, test.refusal.Reason == state.RefusedBackendServerFailed, decision.Suspect)
			}
			if test.action == retry.ActionReturnRefusal {
				require.Equal(t, test.outcome, decision.Refusal.Outcome)
				require.Equal(t, test.refusal.Reason, decision.Refusal.Reason)
			}
		})
	}
}

func TestBudgetLimitsRetriesToShareOfCalls(t *testing.T) {
	const calls = 1000
	budget := retry.NewBudget(retry.BudgetConfig{Share: 0.1, Capacity: 10})
	retries := 0
	for range calls {
		budget.RecordCall(now, "desk", 0)
		for budget.TryWithdraw("desk") {
			retries++
		}
	}
	require.LessOrEqual(t, retries, calls/10+10)
	require.GreaterOrEqual(t, retries, calls/10)
}

// attemptsInChain returns the number of calls that reach the last service of a
// chain of depth services, when the last service refuses every call and the others
// respond with an error.
func attemptsInChain(policy *retry.Policy, depth int) int {
	if depth == 1 {
		return 1
	}
	reached := 0
	for attempts := 1; ; attempts++ {
		reached += attemptsInChain(policy, depth-1)
		if depth > 2 {
			return reached // a response from a backend server is not retried
		}
		head := call.Head{Idempotent: true, Deadline: now.Add(time.Minute)}
		decision := policy.Decide(now, head, state.NotRun(state.RefusedQueueFull, ""), attempts)
		if decision.Action == retry.ActionReturnRefusal {
			return reached
		}
	}
}

// TestRetriesDoNotMultiplyAlongChain guards against retry amplification: if each
// service of a chain retried, the last one would get a number of calls that grows
// exponentially with the length of the chain.
func TestRetriesDoNotMultiplyAlongChain(t *testing.T) {
	require.Equal(t, retry.DefaultMaxAttempts, attemptsInChain(newPolicy(retry.BudgetConfig{}), 12))
}

func TestCombineRefusalsKeepsMayHaveRun(t *testing.T) {
	notRun := state.NotRun(state.RefusedQueueFull, "full")
	mayHaveRun := state.MayHaveRun(state.RefusedBackendServerFailed, "failed")
	require.Equal(t, notRun, retry.CombineRefusals(nil, notRun))
	require.Equal(t, mayHaveRun, retry.CombineRefusals(notRun, mayHaveRun))
	combined := retry.CombineRefusals(mayHaveRun, notRun)
	require.Equal(t, state.OutcomeMayHaveRun, combined.Outcome)
	require.Equal(t, state.RefusedQueueFull, combined.Reason)
	require.Equal(t, state.OutcomeNotRun, notRun.Outcome)
}

// TestRetriesStayWithinMaxReachedAttempts checks the limit on attempts that reach a
// backend server. Other attempts do not count.
func TestRetriesStayWithinMaxReachedAttempts(t *testing.T) {
	now := time.Unix(1000, 0)
	refusal := state.NotRun(state.RefusedShed, "")
	refusal.ReachedBackendServer = true
	head := call.Head{Deadline: now.Add(time.Second), MaxReachedAttempts: 2}
	require.Equal(t, retry.ActionRetryOtherServer, newPolicy(retry.BudgetConfig{}).Decide(now, head, refusal, 1).Action)
	head.ReachedAttempts = 1
	require.Equal(t, retry.ActionReturnRefusal, newPolicy(retry.BudgetConfig{}).Decide(now, head, refusal, 2).Action)
}

// Guards against free repeats of calls that were lost with the connection between two
// nodes, after they may have reached a backend server.
func TestLostCallCountsAsReachedAndIsCharged(t *testing.T) {
	lost := state.MayHaveRun(state.RefusedUnreachable, "")
	newPolicy := func(capacity float64) *retry.Policy {
		budget := retry.NewBudget(retry.BudgetConfig{Capacity: capacity})
		return retry.NewPolicy(retry.Config{ChargeReachedOnly: true}, budget, rand.New(rand.NewPCG(1, 2)))
	}
	head := call.Head{Idempotent: true, Deadline: now.Add(time.Second), MaxReachedAttempts: 2}
	require.Equal(t, retry.ActionRetryOtherServer, newPolicy(1).Decide(now, head, lost, 1).Action)
	require.Equal(t, retry.ActionReturnRefusal, newPolicy(0.5).Decide(now, head, lost, 1).Action, "the budget is empty")
	head.ReachedAttempts = 1
	require.Equal(t, retry.ActionReturnRefusal, newPolicy(1).Decide(now, head, lost, 2).Action, "two attempts were lost")
}

// TestSharedBudgetLimitsAllNodesTogether lets each of several nodes exhaust its
// budget. The total must stay within the share of all calls plus the shared
// capacity.
func TestSharedBudgetLimitsAllNodesTogether(t *testing.T) {
	const nodes, calls, capacity = 10, 100, 58
	withdrawn := 0
	for range nodes {
		budget := retry.NewBudget(retry.BudgetConfig{Share: 0.2, Capacity: capacity, Nodes: func() int { return nodes }})
		require.False(t, budget.TryWithdraw("desk"), "the budget of a node that has just started is empty")
		for range calls {
			budget.RecordCall(now, "desk", 0)
			for budget.TryWithdraw("desk") {
				withdrawn++
			}
		}
		require.False(t, budget.TryWithdraw("vault"), "each service has a separate budget")
	}
	require.LessOrEqual(t, withdrawn, nodes*calls/5+capacity)
	require.GreaterOrEqual(t, withdrawn, nodes*calls/5-nodes)
}

// Guards against charging a repeat that no backend server has got, in addition to the one in its place.
func TestRetryOfARepeatThatWasRefusedIsFree(t *testing.T) {
	budget := retry.NewBudget(retry.BudgetConfig{Capacity: 1})
	policy := retry.NewPolicy(retry.Config{ChargeReachedOnly: true}, budget, rand.New(rand.NewPCG(1, 2)))
	head := call.Head{Service: "desk", Idempotent: true, Deadline: now.Add(time.Second)}
	lost := state.MayHaveRun(state.RefusedBackendServerFailed, "")
	require.Equal(t, retry.ActionRetryOtherServer, policy.Decide(now, head, lost, 1).Action)
	require.Zero(t, budget.Balance(now, "desk"), "the repeat is charged")
	head.ReachedAttempts = 1
	notCovered := state.NotRun(state.RefusedRetryBudget, "")
	require.Equal(t, retry.ActionRetryOtherServer, policy.Decide(now, head, notCovered, 2).Action)
	require.Equal(t, retry.ActionReturnRefusal, policy.Decide(now, head, lost, 2).Action)
}
