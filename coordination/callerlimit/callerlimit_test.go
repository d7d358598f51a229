package callerlimit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/coordination/callerlimit"
	"github.com/wasabiport/wasabiport/state"
)

var now = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

func TestRateLimitPerCallerAndRoute(t *testing.T) {
	limits := callerlimit.New(callerlimit.Config{})
	route := state.Route{Name: "status", CallerLimit: state.CallerLimit{CallsPerSecond: 10, Burst: 2}}
	require.Nil(t, limits.Begin(now, "a", route))
	require.Nil(t, limits.Begin(now, "a", route))
	refusal := limits.Begin(now, "a", route)
	require.NotNil(t, refusal)
	require.Equal(t, state.OutcomeNotRun, refusal.Outcome)
	require.Equal(t, 100*time.Millisecond, refusal.RetryAfter)
	require.Nil(t, limits.Begin(now, "b", route), "another caller is not affected")
	require.Nil(t, limits.Begin(now.Add(refusal.RetryAfter), "a", route))

	route.CallerLimit.CallsPerSecond = 1000
	require.Nil(t, limits.Begin(now.Add(2*refusal.RetryAfter), "a", route))
	require.Nil(t, limits.Begin(now.Add(2*refusal.RetryAfter+time.Millisecond), "a", route),
		"a changed limit takes effect immediately")
}

func TestConcurrencyShareLeavesCapacityForOthers(t *testing.T) {
	limits := callerlimit.New(callerlimit.Config{MaxInFlight: 100})
	var route state.Route
	held := 0
	for limits.Begin(now, "greedy", route) == nil {
		held++
	}
	require.Equal(t, 50, held)
	for i := range 20 {
		require.Nil(t, limits.Begin(now, state.CallerName(fmt.Sprint(i)), route))
	}
	require.NotNil(t, limits.Begin(now, "greedy", route))
	for range held {
		limits.End("greedy")
	}
	require.Nil(t, limits.Begin(now, "greedy", route))
}
