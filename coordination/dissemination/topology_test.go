package dissemination_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/coordination/dissemination"
	"github.com/wasabiport/wasabiport/state"
)

func fleet(zones, hostsPerZone int) []state.Host {
	var hosts []state.Host
	for zone := range zones {
		for host := range hostsPerZone {
			hosts = append(hosts, state.Host{
				Name: state.HostName(fmt.Sprintf("host-%d-%d", zone, host)),
				Zone: state.AvailabilityZone(fmt.Sprintf("zone-%d", zone)),
			})
		}
	}
	return hosts
}

func buildAll(hosts []state.Host) map[state.HostName]*dissemination.Topology {
	topologies := make(map[state.HostName]*dissemination.Topology)
	for _, host := range hosts {
		topologies[host.Name] = dissemination.BuildTopology(host, hosts)
	}
	return topologies
}

// hopsFrom returns the distance of every host from start along all tree links,
// without the hosts in down.
func hopsFrom(start state.HostName, topologies map[state.HostName]*dissemination.Topology, down ...state.HostName) map[state.HostName]int {
	links := make(map[state.HostName][]state.HostName)
	for name, topology := range topologies {
		neighbors := slices.Concat(topology.RootPeers, topology.Children)
		for _, parents := range topology.Parents {
			neighbors = append(neighbors, parents[:min(1, len(parents))]...)
		}
		for _, other := range neighbors {
			links[name] = append(links[name], other)
			links[other] = append(links[other], name)
		}
	}
	hops := map[state.HostName]int{start: 0}
	for queue := []state.HostName{start}; len(queue) > 0; queue = queue[1:] {
		for _, next := range links[queue[0]] {
			if _, seen := hops[next]; !seen && !slices.Contains(down, next) {
				hops[next] = hops[queue[0]] + 1
				queue = append(queue, next)
			}
		}
	}
	return hops
}

func TestTreesReachEveryHostWithinMaxHops(t *testing.T) {
	tests := []struct{ zones, hostsPerZone, maxHops, maxLinks int }{
		{1, 1, 0, 0},
		{3, 3, 4, 10},
		{9, 111, 9, 36},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%d hosts", test.zones*test.hostsPerZone), func(t *testing.T) {
			hosts := fleet(test.zones, test.hostsPerZone)
			topologies := buildAll(hosts)
			readers := 0
			var reader state.HostName
			for name, topology := range topologies {
				links := len(topology.RootPeers) + len(topology.Children) + dissemination.TreeCount
				require.LessOrEqual(t, links, max(test.maxLinks, dissemination.TreeCount))
				if topology.Reader {
					readers++
					reader = name
				}
			}
			require.Equal(t, test.zones*min(test.hostsPerZone, 2), readers)
			hops := hopsFrom(reader, topologies)
			require.Len(t, hops, len(hosts))
			for name, distance := range hops {
				require.LessOrEqual(t, distance, test.maxHops, name)
			}
		})
	}
}

func TestLossOfOneHostDisconnectsNoOther(t *testing.T) {
	hosts := fleet(3, 30)
	topologies := buildAll(hosts)
	for _, lost := range hosts {
		start := hosts[0].Name
		if lost.Name == start {
			start = hosts[1].Name
		}
		require.Len(t, hopsFrom(start, topologies, lost.Name), len(hosts)-1, "without %s", lost.Name)
	}
}

func TestLossOfOneHostMovesFewParents(t *testing.T) {
	hosts := fleet(1, 111)
	before := buildAll(hosts)
	const lost = 40
	after := buildAll(slices.Concat(hosts[:lost], hosts[lost+1:]))
	moved := 0
	for name, topology := range after {
		for tree, parents := range topology.Parents {
			if len(parents) > 0 && parents[0] != before[name].Parents[tree][0] {
				moved++
			}
		}
	}
	require.Less(t, moved, 30, "of %d parents", 2*len(after))
}

func BenchmarkBuildTopology(b *testing.B) {
	for _, hostsPerZone := range []int{111, 1111} {
		hosts := fleet(9, hostsPerZone)
		b.Run(fmt.Sprintf("%d hosts", len(hosts)), func(b *testing.B) {
			for b.Loop() {
				dissemination.BuildTopology(hosts[0], hosts)
			}
		})
	}
}
