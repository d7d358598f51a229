package examples

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/coordination/validation"
	"github.com/wasabiport/wasabiport/protocol/ticketfile"
	"github.com/wasabiport/wasabiport/state"
)

// evaluateAll returns the configuration after the tickets, all of which must be
// accepted.
func evaluateAll(t *testing.T, tickets [][]byte) *state.Snapshot {
	t.Helper()
	snapshot := state.EmptySnapshot()
	for i, raw := range tickets {
		ticket := ticketfile.Decode(state.TicketNumber(i+1), raw)
		var verdict state.Verdict
		snapshot, verdict = validation.Evaluate(snapshot, ticket)
		require.Empty(t, verdict.Errors)
	}
	return snapshot
}

func TestDeploymentsHaveExpectedSizes(t *testing.T) {
	deployments, err := Deployments()
	require.NoError(t, err)
	type size struct {
		upstreams   map[state.ServiceName]int
		slots       int
		connections int
		zones       []state.AvailabilityZone
	}
	want := map[string]size{
		"lakeshore": {
			map[state.ServiceName]int{"permit-desk": 5, "records-vault": 4},
			6, 100,
			[]state.AvailabilityZone{"north", "central", "south"},
		},
		"roshan-nazar": {
			map[state.ServiceName]int{"booking": 6, "imaging": 4},
			12, 120,
			[]state.AvailabilityZone{"Lahore", "Faisalabad", "Multan"},
		},
	}
	for _, deployment := range deployments {
		t.Run(deployment.Name, func(t *testing.T) {
			snapshot := evaluateAll(t, deployment.Tickets)
			size := want[deployment.Name]
			zones := make(map[state.AvailabilityZone]bool)
			hosts := make(map[state.HostName]bool)
			upstreams := make(map[state.ServiceName]int)
			for _, server := range snapshot.Resources().BackendServers {
				upstreams[server.Service]++
				zones[server.Zone] = true
				hosts[server.Host] = true
				require.Equal(t, size.slots, server.Slots)
				require.Equal(t, size.connections, server.Connections)
			}
			require.Equal(t, size.upstreams, upstreams)
			require.Len(t, hosts, len(snapshot.Resources().BackendServers), "each backend server has its own host")
			for _, zone := range size.zones {
				require.Contains(t, zones, zone)
			}
		})
	}
}

func TestDeploymentsHaveAllClassesAndNonIdempotentRoutes(t *testing.T) {
	deployments, err := Deployments()
	require.NoError(t, err)
	for _, deployment := range deployments {
		classes := make(map[state.PriorityClass]bool)
		nonIdempotent := 0
		for _, route := range evaluateAll(t, deployment.Tickets).Resources().Routes {
			classes[route.Class] = true
			if !route.Idempotent {
				nonIdempotent++
			}
		}
		require.Len(t, classes, state.ClassCount, deployment.Name)
		require.Positive(t, nonIdempotent, deployment.Name)
	}
}

func TestRejectedTicketsAreRejected(t *testing.T) {
	deployments, err := Deployments()
	require.NoError(t, err)
	want := map[string][]string{
		"lakeshore":    {"set.routes[1].timeout", "set.routes[0].service"},
		"roshan-nazar": {"set.routes[0].service"},
	}
	for _, deployment := range deployments {
		before := evaluateAll(t, deployment.Tickets)
		after, verdict := validation.Evaluate(before, ticketfile.Decode(4, deployment.Rejected))
		var paths []string
		for _, validationError := range verdict.Errors {
			paths = append(paths, validationError.Path)
		}
		require.Equal(t, want[deployment.Name], paths)
		require.Equal(t, before.Resources(), after.Resources())
	}
}
