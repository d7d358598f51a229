package validation_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/coordination/validation"
	"github.com/wasabiport/wasabiport/state"
)

// baselineOfOneHost returns a baseline whose routes all have the same host.
func baselineOfOneHost(routes int) state.Ticket {
	desk := state.DefaultService("desk")
	desk.SelfRegistered = true
	ticket := state.Ticket{Number: 1, Baseline: true, Set: state.Resources{Services: []state.Service{desk}}}
	for i := range routes {
		added := route(fmt.Sprintf("route-%d", i), "desk")
		added.Match.Host = "desk.example"
		ticket.Set.Routes = append(ticket.Set.Routes, added)
	}
	return ticket
}

// Guards against an evaluation that compares all routes of a host with each other:
// eight times the routes then take 64 times as long.
func TestEvaluationTimeGrowsInProportionToRoutes(t *testing.T) {
	shortest := func(ticket state.Ticket) time.Duration {
		best := time.Hour
		for range 5 {
			started := time.Now()
			_, verdict := validation.Evaluate(state.EmptySnapshot(), ticket)
			best = min(best, time.Since(started))
			require.True(t, verdict.Accepted())
		}
		return best
	}
	require.Less(t, shortest(baselineOfOneHost(8000)), 24*shortest(baselineOfOneHost(1000)))
}
