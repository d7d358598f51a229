package picking_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/coordination/picking"
	"github.com/wasabiport/wasabiport/state"
)

const (
	largeZones   = 5
	largeServers = 115
	// largeHosts is the number of hosts that send calls.
	largeHosts = 195
)

func largeZone(i int) state.AvailabilityZone {
	return state.AvailabilityZone(fmt.Sprintf("zone-%d", i%largeZones))
}

// newLargeSnapshot returns a configuration with one service of many backend servers.
func newLargeSnapshot(servers int) *state.Snapshot {
	builder := state.NewSnapshotBuilder(nil)
	resources := state.Resources{Services: []state.Service{{Name: service}}}
	for i := range servers {
		resources.BackendServers = append(resources.BackendServers, state.BackendServer{
			Name: state.BackendServerName(fmt.Sprintf("server-%d", i)), Service: service,
			Host: state.HostName(fmt.Sprintf("host-%d", i)), Zone: largeZone(i), Slots: 6,
		})
	}
	builder.Set(resources)
	return builder.Build(1, 1)
}

func newLargePicker(host int, hosts fakeHosts) *picking.Picker {
	config := picking.Config{Host: state.HostName(fmt.Sprintf("host-%d", host)), Zone: largeZone(host)}
	return picking.NewPicker(config, hosts, rand.New(rand.NewPCG(1, uint64(host))))
}

// pickedBy returns the backend servers that a node picks for many concurrent calls.
func pickedBy(picker *picking.Picker, snapshot *state.Snapshot) map[state.BackendServerName]int {
	picked := make(map[state.BackendServerName]int)
	for range 300 {
		server, _ := picker.Pick(epoch, snapshot, request, nil)
		picked[server.Name]++
	}
	return picked
}

// Guards against sessions from each node to each other one, and against a pick that
// compares all backend servers of a large service.
func TestNodeUsesSomeServersOfLargeService(t *testing.T) {
	snapshot := newLargeSnapshot(largeServers)
	callers := make(map[state.BackendServerName]int)
	for host := range largeHosts {
		picked := pickedBy(newLargePicker(host, fakeHosts{}), snapshot)
		require.LessOrEqual(t, len(picked), 32)
		local := 0
		for name := range picked {
			callers[name]++
			if server, _ := snapshot.BackendServer(name); server.Zone == largeZone(host) {
				local++
			}
		}
		require.Equal(t, 16, local)
	}
	require.Len(t, callers, largeServers, "each backend server is used by some nodes")
	const mean = largeHosts * 32 / largeServers
	for name, count := range callers {
		require.Greater(t, count, mean/2, name)
		require.Less(t, count, 2*mean, name)
	}
}

func TestChangeOfServerReplacesFewUsedOnes(t *testing.T) {
	before := pickedBy(newLargePicker(3, fakeHosts{}), newLargeSnapshot(largeServers))
	after := pickedBy(newLargePicker(3, fakeHosts{}), newLargeSnapshot(largeServers-1))
	replaced := 0
	for name := range before {
		if after[name] == 0 {
			replaced++
		}
	}
	require.LessOrEqual(t, replaced, 1)
}

func TestOtherServersAreUsedWhenNoUsedOneIsAvailable(t *testing.T) {
	snapshot := newLargeSnapshot(largeServers)
	hosts := fakeHosts{phases: make(map[state.HostName]state.HostPhase)}
	picker := newLargePicker(3, hosts)
	used := pickedBy(picker, snapshot)
	for name := range used {
		server, _ := snapshot.BackendServer(name)
		hosts.phases[server.Host] = state.HostGone
	}
	server, refusal := picker.Pick(epoch, snapshot, request, nil)
	require.Nil(t, refusal)
	require.Zero(t, used[server.Name])
}

func BenchmarkPickOfLargeService(b *testing.B) {
	for _, servers := range []int{30, 115, 330} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			picker, snapshot := newLargePicker(1, fakeHosts{}), newLargeSnapshot(servers)
			b.ReportAllocs()
			for b.Loop() {
				_, _ = picker.Pick(epoch, snapshot, request, nil)
			}
		})
	}
}
