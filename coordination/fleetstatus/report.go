// Package fleetstatus merges how far the hosts of the fleet have come. Each
// node reports the counts of its subtree to its parent, the roots exchange the
// counts of their availability zones, and every node can answer for all.
package fleetstatus

import (
	"cmp"
	"slices"
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// maxHeadCounts bounds the entries of one report.
const maxHeadCounts = 16

// HeadCount is the number of hosts that have come equally far.
type HeadCount struct {
	Head  state.Head
	Hosts int
	// Age is the age of the oldest report that was counted.
	Age time.Duration
}

// ZoneReport is how far the hosts of an availability zone have come.
type ZoneReport struct {
	Zone   state.AvailabilityZone
	Counts []HeadCount
	// Age is the time since the root of the zone made the report.
	Age time.Duration
}

// mergeCounts adds up counts of equal heads, newest first. When there are more
// than maxHeadCounts, the oldest are counted together under the lowest head,
// so that no host appears further than it is.
func mergeCounts(counts []HeadCount) []HeadCount {
	byHead := make(map[state.Head]HeadCount, len(counts))
	for _, count := range counts {
		sum := byHead[count.Head]
		byHead[count.Head] = HeadCount{
			Head: count.Head, Hosts: sum.Hosts + count.Hosts, Age: max(sum.Age, count.Age),
		}
	}
	merged := make([]HeadCount, 0, len(byHead))
	for _, count := range byHead {
		merged = append(merged, count)
	}
	slices.SortFunc(merged, func(a, b HeadCount) int {
		return cmp.Or(cmp.Compare(b.Head.Judged, a.Head.Judged), cmp.Compare(a.Head.Digest, b.Head.Digest))
	})
	return fold(merged)
}

func fold(counts []HeadCount) []HeadCount {
	if len(counts) <= maxHeadCounts {
		return counts
	}
	folded := HeadCount{Head: counts[len(counts)-1].Head}
	for _, count := range counts[maxHeadCounts-1:] {
		folded.Hosts += count.Hosts
		folded.Age = max(folded.Age, count.Age)
	}
	return append(counts[:maxHeadCounts-1:maxHeadCounts-1], folded)
}
