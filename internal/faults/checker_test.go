package faults_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/internal/faults"
	"github.com/wasabiport/wasabiport/state"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// validHistory returns a history without violations.
func validHistory() *faults.History {
	h := faults.NewHistory()
	h.LatestAccepted = 2
	h.Rejected[1] = true
	h.HealedAt = start
	h.End = start.Add(20 * time.Second)
	h.OnlyPlannedShutdowns = true
	h.Calls = []faults.CallRecord{{
		Kind: faults.Notice, Key: "key", CallID: "call", Outcome: "done",
		Status: 200, Connected: true, Answered: true, BodyComplete: true, BodyCorrect: true,
	}}
	h.Runs = []faults.RunRecord{{Host: 0, At: start, CallID: "call", Key: "key"}}
	h.Samples = []faults.NodeSample{
		{Host: 0, At: start.Add(18 * time.Second), Evaluated: 2, Accepted: 2, Digest: "a", Ready: true},
		{Host: 1, At: start.Add(18 * time.Second), Evaluated: 2, Accepted: 2, Digest: "a", Ready: true},
	}
	h.Configurations = []faults.ConfigurationSample{{Host: 0, Ticket: state.Ticket{
		Number: 2,
		Set: state.Resources{
			Routes:         []state.Route{{Name: "notices", Service: "desk", Worth: 2}},
			Services:       []state.Service{{Name: "desk", RecordRetention: 2 * time.Hour}},
			BackendServers: []state.BackendServer{{Name: "desk-0", Service: "desk", Connections: 102}},
		},
	}}}
	return h
}

// TestCheckerReportsEachViolatedGuarantee corrupts a valid history once for each
// guarantee and requires the checker to report that guarantee first.
func TestCheckerReportsEachViolatedGuarantee(t *testing.T) {
	require.Empty(t, faults.Check(validHistory()))
	tests := []struct {
		name      string
		guarantee faults.Guarantee
		corrupt   func(h *faults.History)
	}{
		{"an older version", faults.MonotonicVersions, func(h *faults.History) {
			older := faults.NodeSample{Host: 0, At: start.Add(19 * time.Second), Evaluated: 1, Accepted: 0, Digest: "b", Ready: true}
			h.Samples = append(h.Samples, older, h.Samples[0])
		}},
		{"an older version after a restart", faults.MonotonicVersions, func(h *faults.History) {
			older := faults.NodeSample{Host: 0, Process: 2, Evaluated: 1, Digest: "b", Ready: true}
			h.Samples = append(h.Samples, older, h.Samples[0])
		}},
		{"a route without backend servers", faults.NoDanglingRoutes, func(h *faults.History) {
			h.Configurations[0].Ticket.Set.BackendServers = nil
		}},
		{"a partly applied ticket", faults.AtomicUpdates, func(h *faults.History) {
			h.Configurations[0].Ticket.Set.Routes[0].Worth = 1
		}},
		{"an invalid ticket", faults.AtomicUpdates, func(h *faults.History) {
			h.Rejected[2] = true
		}},
		{"two configurations of one number", faults.AtomicUpdates, func(h *faults.History) {
			h.Samples[1].Digest = "b"
		}},
		{"a truncated answer ended as complete", faults.CompleteAnswer, func(h *faults.History) {
			h.Calls[0].BodyCorrect = false
		}},
		{"an inaccurate not run", faults.AccurateNotRun, func(h *faults.History) {
			h.Calls[0].Outcome = "not-run"
		}},
		{"a call that runs twice", faults.AtMostOnce, func(h *faults.History) {
			h.Runs = append(h.Runs, faults.RunRecord{Host: 1, At: start, CallID: "resend", Key: "key"})
		}},
		{"a call to a draining backend server", faults.NoNewWorkWhenDraining, func(h *faults.History) {
			h.Drains = []faults.Drain{{Host: 0, At: start.Add(-6 * time.Second)}}
		}},
		{"a call interrupted by a planned shutdown", faults.GracefulShutdown, func(h *faults.History) {
			h.Calls[0].BodyComplete = false
		}},
		{"a node that stays behind", faults.Convergence, func(h *faults.History) {
			h.Samples[1].Accepted, h.Samples[1].Evaluated = 1, 1
		}},
		{"a node that does not recover", faults.Convergence, func(h *faults.History) {
			h.Samples[1].Ready = false
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := validHistory()
			test.corrupt(h)
			violations := faults.Check(h)
			require.NotEmpty(t, violations)
			require.Equal(t, test.guarantee, violations[0].Guarantee)
		})
	}
}
