package picking

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiport/wasabiport/state"
)

// Sizes of the subset of the backend servers of a service that one node uses.
const (
	localSubsetSize  = 16
	remoteSubsetSize = 16
)

// subsets chooses for each service the backend servers that this node uses: some of
// its availability zone and some of the others. Each node uses others, so that all
// backend servers get calls. The time of a pick and the sessions of a node then don't
// grow with the fleet. The choice is kept until the backend servers change; it is
// sharded by service.
type subsets struct {
	self state.HostName
	zone state.AvailabilityZone
	kept *state.ShardedMap[state.ServiceName, subset]
}

// subset is a choice among the backend servers of a service.
type subset struct {
	of, chosen []state.BackendServer
}

func newSubsets(config Config) subsets {
	kept := state.NewShardedMap[state.ServiceName, subset](state.DefaultShardCount)
	return subsets{self: config.Host, zone: config.Zone, kept: kept}
}

// choose returns the backend servers of a service that this node uses. They are
// those of the lowest rendezvous hashes, so that a change of one backend server
// replaces at most one of them.
func (s subsets) choose(service state.ServiceName, servers []state.BackendServer) []state.BackendServer {
	if len(servers) <= localSubsetSize+remoteSubsetSize {
		return servers
	}
	if kept, ok := s.kept.Get(service); ok && isSameSlice(kept.of, servers) {
		return kept.chosen
	}
	chosen := s.compute(servers)
	s.kept.Set(service, subset{of: servers, chosen: chosen})
	return chosen
}

// isSameSlice reports whether two non-empty slices are the same. The backend servers
// of a service are never changed in place.
func isSameSlice(a, b []state.BackendServer) bool { return len(a) == len(b) && &a[0] == &b[0] }

func (s subsets) compute(servers []state.BackendServer) []state.BackendServer {
	var local, remote []state.BackendServer
	for _, server := range s.byHash(servers) {
		switch {
		case server.Zone == s.zone && len(local) < localSubsetSize:
			local = append(local, server)
		case server.Zone != s.zone && len(remote) < remoteSubsetSize:
			remote = append(remote, server)
		default:
		}
	}
	return append(local, remote...)
}

// byHash returns the backend servers in the order of their rendezvous hashes.
func (s subsets) byHash(servers []state.BackendServer) []state.BackendServer {
	hashes := make(map[state.BackendServerName]uint64, len(servers))
	for _, server := range servers {
		hashes[server.Name] = xxhash.Sum64String(string(s.self) + "\x00" + string(server.Name))
	}
	ordered := slices.Clone(servers)
	slices.SortFunc(ordered, func(a, b state.BackendServer) int {
		return cmp.Or(cmp.Compare(hashes[a.Name], hashes[b.Name]), cmp.Compare(a.Name, b.Name))
	})
	return ordered
}
