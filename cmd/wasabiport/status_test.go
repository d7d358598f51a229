package main

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/coordination/control"
	"github.com/wasabiport/wasabiport/coordination/fleetstatus"
	"github.com/wasabiport/wasabiport/state"
	"github.com/wasabiport/wasabiport/transport/operator"
)

// fakeNode is a node that has rejected ticket 2 and has no recent report from
// availability zone south.
type fakeNode struct{}

func (n fakeNode) Ready() error { return nil }
func (n fakeNode) Version() control.Version {
	return control.Version{Evaluated: 2, Accepted: 1, Digest: 0xab}
}
func (n fakeNode) Snapshot() *state.Snapshot { return state.EmptySnapshot() }
func (n fakeNode) TicketStatus(number state.TicketNumber) fleetstatus.TicketStatus {
	status := fleetstatus.TicketStatus{Number: number, Outcome: fleetstatus.OutcomeAccepted}
	status.Zones = []fleetstatus.ZoneStatus{{Zone: "north", Hosts: 3, InForce: 2, Behind: 1}, {Zone: "south", Hosts: 2, Unreported: 2}}
	status.UnseenZones = []state.AvailabilityZone{"south"}
	if number == 2 {
		status.Outcome = fleetstatus.OutcomeRejected
		status.Errors = []state.ValidationError{{Path: "set.routes[0].service", Reason: "is missing"}}
		status.Zones = []fleetstatus.ZoneStatus{{Zone: "north", Hosts: 3, Rejected: 3, Diverged: 1}}
	}
	return status
}

func startOperators(t *testing.T) string {
	t.Helper()
	handler := operator.NewHandler(state.Host{Name: "h1", Zone: "north"}, fakeNode{}, prometheus.NewRegistry())
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.URL
}

func TestTicketStatus(t *testing.T) {
	url := startOperators(t)
	status, stdout, stderr := runCommand(t, "ticket", "status", "--operator", url)
	require.Equal(t, exitOK, status, stderr)
	require.Equal(t, `TICKET  VERDICT   ZONE   HOSTS  IN FORCE  REJECTED  BEHIND  NOT HEARD  OLDEST REPORT
2       rejected  north  3      0         3         0       0          0s
1       accepted  north  3      2         0         1       0          0s
1       accepted  south  2      0         0         0       2          0s
ticket 2: set.routes[0].service: is missing
ticket 2: the node can't see availability zone south
ticket 2: 1 hosts of north have another configuration than the node
ticket 1: the node can't see availability zone south
`, stdout)

	status, stdout, _ = runCommand(t, "ticket", "status", "1", "--operator", url, "--output", "json")
	require.Equal(t, exitOK, status)
	require.Contains(t, stdout, `"not_heard": 2`)
	status, _, stderr = runCommand(t, "ticket", "status", "first", "--operator", url)
	require.Equal(t, exitUsage, status)
	require.Equal(t, "wasabiport: a ticket number is a whole number from 1, not \"first\"\n", stderr)
}

func TestTicketBaselineHasTheNextNumber(t *testing.T) {
	url := startOperators(t)
	status, stdout, stderr := runCommand(t, "ticket", "baseline", "--operator", url)
	require.Equal(t, exitOK, status, stderr)
	require.Equal(t, "{\n  \"number\": 3,\n  \"baseline\": true\n}\n", stdout)
}

func TestTicketCheckAgainstConfigurationOfNode(t *testing.T) {
	url := startOperators(t)
	third := writeFile(t, `{"number":3,"set":{"services":[{"name":"s"}]}}`)
	status, stdout, stderr := runCommand(t, "ticket", "check", "--operator", url, third)
	require.Equal(t, exitOK, status, stdout+stderr)
	second := writeFile(t, `{"number":2,"set":{"services":[{"name":"s"}]}}`)
	status, stdout, _ = runCommand(t, "ticket", "check", "--operator", url, second)
	require.Equal(t, exitFailed, status)
	require.Contains(t, stdout, "is 2, but the ticket before makes this ticket 3")
}

func TestNodeStatus(t *testing.T) {
	url := startOperators(t)
	status, stdout, _ := runCommand(t, "node", "status", "--operator", url)
	require.Equal(t, exitOK, status)
	require.Contains(t, stdout, "LATEST TICKET IN FORCE  1\n")
	status, _, stderr := runCommand(t, "node", "status", "--operator", "http://127.0.0.1:1")
	require.Equal(t, exitFailed, status)
	require.Contains(t, stderr, "wasabiport: ask the node:")
}

func TestOperatorListenerRejectsInvalidNumbers(t *testing.T) {
	url := startOperators(t)
	for _, path := range []string{"/v1/tickets/0", "/v1/tickets/x", "/v1/tickets?count=0", "/v1/tickets?count=101"} {
		response, err := http.Get(url + path)
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, http.StatusBadRequest, response.StatusCode, "%s: %s", path, body)
	}
}
