package faults_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/internal/faults"
	"github.com/wasabiport/wasabiport/state"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// goodHistory returns a history that breaks no promise.
func goodHistory() *faults.History {
	h := faults.NewHistory()
	h.LatestAccepted = 2
	h.Rejected[1] = true
	h.Healed = start
	h.End = start.Add(20 * time.Second)
	h.OnlyPlannedStops = true
	h.Calls = []faults.CallRecord{{
		Kind: faults.Notice, Key: "key", CallID: "call", Outcome: "done",
		Status: 200, Connected: true, Answered: true, BodyEnded: true, BodyRight: true,
	}}
	h.Runs = []faults.RunRecord{{Host: 0, At: start, CallID: "call", Key: "key"}}
	h.Samples = []faults.NodeSample{
		{Host: 0, At: start.Add(18 * time.Second), Judged: 2, Accepted: 2, Digest: "a", Ready: true},
		{Host: 1, At: start.Add(18 * time.Second), Judged: 2, Accepted: 2, Digest: "a", Ready: true},
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

// TestCheckerCatchesEachBrokenPromise breaks each promise on purpose.
func TestCheckerCatchesEachBrokenPromise(t *testing.T) {
	require.Empty(t, faults.Check(goodHistory()))
	tests := []struct {
		name    string
		promise faults.Promise
		corrupt func(h *faults.History)
	}{
		{"an older version", faults.NeverBack, func(h *faults.History) {
			older := faults.NodeSample{Host: 0, At: start.Add(19 * time.Second), Judged: 1, Accepted: 0, Digest: "b", Ready: true}
			h.Samples = append(h.Samples, older, h.Samples[0])
		}},
		{"an older version after a restart", faults.NeverBack, func(h *faults.History) {
			older := faults.NodeSample{Host: 0, Process: 2, Judged: 1, Digest: "b", Ready: true}
			h.Samples = append(h.Samples, older, h.Samples[0])
		}},
		{"a route without backend servers", faults.NoDanglingRoute, func(h *faults.History) {
			h.Configurations[0].Ticket.Set.BackendServers = nil
		}},
		{"half a ticket", faults.NeverInPart, func(h *faults.History) {
			h.Configurations[0].Ticket.Set.Routes[0].Worth = 1
		}},
		{"a bad ticket", faults.NeverInPart, func(h *faults.History) {
			h.Rejected[2] = true
		}},
		{"two configurations of one number", faults.NeverInPart, func(h *faults.History) {
			h.Samples[1].Digest = "b"
		}},
		{"a cut answer ended as whole", faults.WholeAnswer, func(h *faults.History) {
			h.Calls[0].BodyRight = false
		}},
		{"a false not run", faults.TrueNotRun, func(h *faults.History) {
			h.Calls[0].Outcome = "not-run"
		}},
		{"a double send", faults.AtMostOnce, func(h *faults.History) {
			h.Runs = append(h.Runs, faults.RunRecord{Host: 1, At: start, CallID: "resend", Key: "key"})
		}},
		{"a pick of a leaving backend server", faults.NoWorkWhenLeaving, func(h *faults.History) {
			h.Drains = []faults.Drain{{Host: 0, At: start.Add(-6 * time.Second)}}
		}},
		{"a request cut by a planned stop", faults.GracefulStop, func(h *faults.History) {
			h.Calls[0].BodyEnded = false
		}},
		{"a node that stays behind", faults.InForceEverywhere, func(h *faults.History) {
			h.Samples[1].Accepted, h.Samples[1].Judged = 1, 1
		}},
		{"a node that does not come back", faults.InForceEverywhere, func(h *faults.History) {
			h.Samples[1].Ready = false
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := goodHistory()
			test.corrupt(h)
			violations := faults.Check(h)
			require.NotEmpty(t, violations)
			require.Equal(t, test.promise, violations[0].Promise)
		})
	}
}
