package fleetstatus

import (
	"cmp"
	"slices"
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// Collector holds the reports of a node's children and of all availability
// zones, each in shards under their own locks. Its memory is bounded by the
// number of children and availability zones.
type Collector struct {
	// retention is how long a report is valid after it was received.
	retention time.Duration
	children  *state.ShardedMap[state.HostName, timedCounts]
	zones     *state.ShardedMap[state.AvailabilityZone, timedCounts]
}

// timedCounts are counts with the time to which their ages refer.
type timedCounts struct {
	counts []VersionCount
	at     time.Time
	// changed is true if the counts have changed since ChangedZones last
	// returned them.
	changed bool
}

// aged returns the counts with their ages at now.
func (c timedCounts) aged(now time.Time) []VersionCount {
	aged := slices.Clone(c.counts)
	for i := range aged {
		aged[i].Age += now.Sub(c.at)
	}
	return aged
}

// NewCollector returns a collector for which reports are valid for retention
// after they were received.
func NewCollector(retention time.Duration) *Collector {
	return &Collector{
		retention: retention,
		children:  state.NewShardedMap[state.HostName, timedCounts](state.DefaultShardCount),
		zones:     state.NewShardedMap[state.AvailabilityZone, timedCounts](state.DefaultShardCount),
	}
}

// RecordSubtree stores the report of a child and reports whether the counts
// have changed.
func (c *Collector) RecordSubtree(now time.Time, child state.HostName, counts []VersionCount) bool {
	next := timedCounts{counts: mergeCounts(counts), at: now}
	changed := false
	c.children.Update(child, func(old timedCounts, _ bool) (timedCounts, bool) {
		changed = !sameHosts(old.counts, next.counts)
		return next, true
	})
	return changed
}

// Subtree returns the counts of the local node and its children's subtrees.
func (c *Collector) Subtree(now time.Time, local state.Version) []VersionCount {
	c.children.RemoveIf(func(_ state.HostName, report timedCounts) bool {
		return now.Sub(report.at) > c.retention
	})
	counts := []VersionCount{{Version: local, Hosts: 1}}
	c.children.Range(func(_ state.HostName, report timedCounts) bool {
		counts = append(counts, report.aged(now)...)
		return true
	})
	return mergeCounts(counts)
}

// RecordZone stores the report of an availability zone unless the stored one is
// at least as recent. It reports whether the counts have changed.
func (c *Collector) RecordZone(now time.Time, report ZoneReport) bool {
	at := now.Add(-report.Age)
	changed := false
	c.zones.Update(report.Zone, func(old timedCounts, present bool) (timedCounts, bool) {
		if present && !at.After(old.at) {
			return old, true
		}
		next := timedCounts{counts: mergeCounts(report.Counts), at: at}
		changed = !sameHosts(old.counts, next.counts)
		next.changed = old.changed || changed
		return next, true
	})
	return changed
}

// sameHosts compares counts without their ages.
func sameHosts(a, b []VersionCount) bool {
	return slices.EqualFunc(a, b, func(x, y VersionCount) bool { return x.Version == y.Version && x.Hosts == y.Hosts })
}

// Zones returns the latest report of every availability zone, sorted by name.
func (c *Collector) Zones(now time.Time) []ZoneReport {
	var reports []ZoneReport
	c.zones.Range(func(zone state.AvailabilityZone, report timedCounts) bool {
		reports = append(reports, ZoneReport{Zone: zone, Counts: report.counts, Age: now.Sub(report.at)})
		return true
	})
	slices.SortFunc(reports, func(a, b ZoneReport) int { return cmp.Compare(a.Zone, b.Zone) })
	return reports
}

// ChangedZones returns the reports whose counts have changed since the last
// call, sorted by name.
func (c *Collector) ChangedZones(now time.Time) []ZoneReport {
	var changed []ZoneReport
	for _, report := range c.Zones(now) {
		c.zones.Update(report.Zone, func(known timedCounts, present bool) (timedCounts, bool) {
			if known.changed {
				changed = append(changed, report)
			}
			known.changed = false
			return known, present
		})
	}
	return changed
}

// RetainZones drops the reports of availability zones that are not in present.
func (c *Collector) RetainZones(present map[state.AvailabilityZone]int) {
	c.zones.RemoveIf(func(zone state.AvailabilityZone, _ timedCounts) bool {
		_, ok := present[zone]
		return !ok
	})
}
