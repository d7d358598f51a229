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

// VersionCount is the number of hosts that have come equally far.
type VersionCount struct {
	Version state.Version
	Hosts   int
	// Age is the age of the oldest report that was counted.
	Age time.Duration
}

// ZoneReport is how far the hosts of an availability zone have come.
type ZoneReport struct {
	Zone   state.AvailabilityZone
	Counts []VersionCount
	// Age is the time since the root of the zone made the report.
	Age time.Duration
}

// mergeCounts adds up counts of equal heads, newest first. When there are more
// than maxHeadCounts, the oldest are counted together under the lowest head,
// so that no host appears further than it is.
func mergeCounts(counts []VersionCount) []VersionCount {
	byHead := make(map[state.Version]VersionCount, len(counts))
	for _, count := range counts {
		sum := byHead[count.Version]
		byHead[count.Version] = VersionCount{
			Version: count.Version, Hosts: sum.Hosts + count.Hosts, Age: max(sum.Age, count.Age),
		}
	}
	merged := make([]VersionCount, 0, len(byHead))
	for _, count := range byHead {
		merged = append(merged, count)
	}
	slices.SortFunc(merged, func(a, b VersionCount) int {
		return cmp.Or(cmp.Compare(b.Version.Evaluated, a.Version.Evaluated), cmp.Compare(a.Version.Digest, b.Version.Digest))
	})
	return fold(merged)
}

func fold(counts []VersionCount) []VersionCount {
	if len(counts) <= maxHeadCounts {
		return counts
	}
	folded := VersionCount{Version: counts[len(counts)-1].Version}
	for _, count := range counts[maxHeadCounts-1:] {
		folded.Hosts += count.Hosts
		folded.Age = max(folded.Age, count.Age)
	}
	return append(counts[:maxHeadCounts-1:maxHeadCounts-1], folded)
}
