// Package fleetstatus aggregates the configuration versions of the hosts in the
// fleet. Each node reports the counts of its subtree to its parent and the
// roots exchange the counts of their availability zones, so that every node has
// the status of the whole fleet.
package fleetstatus

import (
	"cmp"
	"slices"
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// maxVersionCounts bounds the entries of one report.
const maxVersionCounts = 16

// VersionCount is the number of hosts at one version.
type VersionCount struct {
	Version state.Version
	Hosts   int
	// Age is the age of the oldest report that was counted.
	Age time.Duration
}

// ZoneReport counts the hosts of an availability zone by version.
type ZoneReport struct {
	Zone   state.AvailabilityZone
	Counts []VersionCount
	// Age is the time since the root of the zone made the report.
	Age time.Duration
}

// mergeCounts adds up the counts of equal versions, newest first. If there are
// more than maxVersionCounts, the oldest are counted together under the lowest
// version, so that no host appears to have a newer version than it has.
func mergeCounts(counts []VersionCount) []VersionCount {
	byVersion := make(map[state.Version]VersionCount, len(counts))
	for _, count := range counts {
		sum := byVersion[count.Version]
		byVersion[count.Version] = VersionCount{
			Version: count.Version, Hosts: sum.Hosts + count.Hosts, Age: max(sum.Age, count.Age),
		}
	}
	merged := make([]VersionCount, 0, len(byVersion))
	for _, count := range byVersion {
		merged = append(merged, count)
	}
	slices.SortFunc(merged, func(a, b VersionCount) int {
		return cmp.Or(cmp.Compare(b.Version.Evaluated, a.Version.Evaluated), cmp.Compare(a.Version.Digest, b.Version.Digest))
	})
	return foldOldest(merged)
}

// foldOldest counts the oldest versions together if there are more than
// maxVersionCounts.
func foldOldest(counts []VersionCount) []VersionCount {
	if len(counts) <= maxVersionCounts {
		return counts
	}
	folded := VersionCount{Version: counts[len(counts)-1].Version}
	for _, count := range counts[maxVersionCounts-1:] {
		folded.Hosts += count.Hosts
		folded.Age = max(folded.Age, count.Age)
	}
	return append(counts[:maxVersionCounts-1:maxVersionCounts-1], folded)
}
