// Package dissemination decides which sessions carry new state through the
// fleet: redundant shallow push trees in each availability zone, connected at
// their roots across availability zones and regions.
//
// The trees are built by rendezvous hashing from the known hosts. Nodes with
// the same hosts build the same trees. A host that joins or leaves moves only
// its own children and the hosts at the boundaries of levels.
package dissemination

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiport/wasabiport/state"
)

const (
	// TreeCount is the number of trees in each availability zone. A node misses
	// a push only if its parents in all trees fail at the same time.
	TreeCount = 2
	// Fanout is the mean number of children of an inner node. A larger fanout
	// makes the trees shallower and puts more load on their inner nodes.
	Fanout = 6
)

// Topology is the position of one node in the trees. It is immutable.
type Topology struct {
	// Parents holds the candidates for the node's parent in each tree, best
	// first. It is empty at a root.
	Parents [TreeCount][]state.HostName
	// Children are the hosts whose preferred parent is this node.
	Children []state.HostName
	// RootPeers are the other roots that a root is connected to: the root of
	// the same tree in every other availability zone, and the roots of the
	// other trees in its own. It is empty if the node is not a root.
	RootPeers []state.HostName
	// Reader is true if this node is a root. Roots watch the source.
	Reader bool
}

// level holds the hosts at the same distance from a root.
type level []state.HostName

// BuildTopology returns the position of self among hosts, which need not
// contain self.
func BuildTopology(self state.Host, hosts []state.Host) *Topology {
	topology := &Topology{}
	zones := namesByZone(self, hosts)
	roots := rootsOf(zones[self.Zone])
	var trees [TreeCount][]level
	for tree := range TreeCount {
		trees[tree] = levelsOf(tree, zones[self.Zone], roots)
	}
	topology.RootPeers = rootLinks(self, zones, roots)
	topology.Reader = slices.Contains(roots, self.Name)
	topology.Parents = parentsOf(self.Name, trees)
	topology.Children = childrenOf(self.Name, trees)
	return topology
}

func namesByZone(self state.Host, hosts []state.Host) map[state.AvailabilityZone][]state.HostName {
	zones := map[state.AvailabilityZone][]state.HostName{self.Zone: {self.Name}}
	for _, host := range hosts {
		if host.Name != self.Name {
			zones[host.Zone] = append(zones[host.Zone], host.Name)
		}
	}
	return zones
}

// rootsOf returns the root of each tree in an availability zone. A host is the
// root of at most one tree, so there are fewer roots than trees if there are
// fewer hosts.
func rootsOf(zone []state.HostName) []state.HostName {
	var roots []state.HostName
	for tree := range TreeCount {
		if root, ok := rootOf(tree, zone, roots); ok {
			roots = append(roots, root)
		}
	}
	return roots
}

func rootOf(tree int, zone, excluded []state.HostName) (state.HostName, bool) {
	var best state.HostName
	var bestRank uint64
	for _, name := range zone {
		candidate := rank(tree, name)
		if (best == "" || candidate < bestRank) && !slices.Contains(excluded, name) {
			best, bestRank = name, candidate
		}
	}
	return best, best != ""
}

// levelsOf sorts the hosts of an availability zone by rank and splits them into
// levels of size 1, Fanout, Fanout squared and so on.
func levelsOf(tree int, zone, roots []state.HostName) []level {
	if tree >= len(roots) {
		return nil
	}
	rest := make([]state.HostName, 0, len(zone))
	for _, name := range zone {
		if name != roots[tree] {
			rest = append(rest, name)
		}
	}
	sortByRank(tree, rest)
	levels := []level{{roots[tree]}}
	for size := Fanout; len(rest) > 0; size *= Fanout {
		size = min(size, len(rest))
		levels = append(levels, rest[:size])
		rest = rest[size:]
	}
	return levels
}

// rootLinks returns the roots that self is connected to if it is a root.
func rootLinks(self state.Host, zones map[state.AvailabilityZone][]state.HostName, localRoots []state.HostName) []state.HostName {
	tree := slices.Index(localRoots, self.Name)
	if tree < 0 {
		return nil
	}
	links := slices.Delete(slices.Clone(localRoots), tree, tree+1)
	for zone, names := range zones {
		if zone == self.Zone {
			continue
		}
		roots := rootsOf(names)
		links = append(links, roots[min(tree, len(roots)-1)])
	}
	slices.Sort(links)
	return links
}

// parentsOf returns the parent candidates of name in each tree: the hosts of
// the level above in rendezvous order, then the hosts of its own level that
// rank before it, so that a node still finds a parent if its root is silent.
// The first choices differ between the trees if possible.
func parentsOf(name state.HostName, trees [TreeCount][]level) [TreeCount][]state.HostName {
	var parents [TreeCount][]state.HostName
	for tree, levels := range trees {
		depth := depthOf(name, levels)
		if depth < 1 {
			continue
		}
		above := slices.Clone(levels[depth-1])
		sortByRendezvous(tree, name, above)
		position := slices.Index(levels[depth], name)
		siblings := slices.Clone(levels[depth][:position])
		sortByRendezvous(tree, name, siblings)
		parents[tree] = append([]state.HostName(above), siblings...)
		avoidSameParent(parents[:tree], parents[tree])
	}
	return parents
}

// avoidSameParent swaps the first two candidates if the first one is already
// the parent in an earlier tree.
func avoidSameParent(earlier [][]state.HostName, candidates []state.HostName) {
	if len(candidates) < 2 {
		return
	}
	for _, parents := range earlier {
		if len(parents) > 0 && parents[0] == candidates[0] {
			candidates[0], candidates[1] = candidates[1], candidates[0]
			return
		}
	}
}

func depthOf(name state.HostName, levels []level) int {
	return slices.IndexFunc(levels, func(l level) bool { return slices.Contains(l, name) })
}

// childrenOf returns the hosts whose preferred parent is name.
func childrenOf(name state.HostName, trees [TreeCount][]level) []state.HostName {
	var children []state.HostName
	for tree, levels := range trees {
		depth := depthOf(name, levels)
		if depth < 0 || depth+1 >= len(levels) {
			continue
		}
		for _, candidate := range levels[depth+1] {
			if !isTopTwo(tree, candidate, name, levels[depth]) || slices.Contains(children, candidate) {
				continue
			}
			if parentsOf(candidate, trees)[tree][0] == name {
				children = append(children, candidate)
			}
		}
	}
	return children
}

// isTopTwo reports whether parent is among the two best candidates of child,
// without sorting all candidates.
func isTopTwo(tree int, child, parent state.HostName, above level) bool {
	score := affinity(tree, child, parent)
	better := 0
	for _, other := range above {
		if other != parent && affinity(tree, child, other) < score {
			better++
		}
		if better > 1 {
			return false
		}
	}
	return true
}

// rank orders hosts by their position in a tree.
func rank(tree int, name state.HostName) uint64 { return affinity(tree, "", name) }

// affinity is the rendezvous hash of a child and a possible parent. The
// smallest value wins.
func affinity(tree int, child, parent state.HostName) uint64 {
	buffer := make([]byte, 0, 128)
	buffer = append(buffer, byte(tree))
	buffer = append(buffer, child...)
	buffer = append(buffer, 0)
	buffer = append(buffer, parent...)
	return xxhash.Sum64(buffer)
}

func sortByRank(tree int, names []state.HostName) { sortByRendezvous(tree, "", names) }

func sortByRendezvous(tree int, child state.HostName, names []state.HostName) {
	scores := make(map[state.HostName]uint64, len(names))
	for _, name := range names {
		scores[name] = affinity(tree, child, name)
	}
	slices.SortFunc(names, func(a, b state.HostName) int {
		return cmp.Or(cmp.Compare(scores[a], scores[b]), cmp.Compare(a, b))
	})
}
