package state

import (
	"cmp"
	"maps"
	"slices"
)

// SnapshotDiff is the difference between two configurations: the resources to set
// and to remove in order to get from one to the other.
type SnapshotDiff struct {
	// Base is the latest evaluated ticket of the earlier configuration.
	Base TicketNumber
	// Version is the version of the later configuration.
	Version Version
	Set     Resources
	Remove  Removals
}

// Diff returns the difference between two snapshots, ordered by name. It does not
// cover the registry.
func Diff(before, after *Snapshot) SnapshotDiff {
	diff := SnapshotDiff{Base: before.Evaluated(), Version: after.Version()}
	// The limits are stated even if they are the same, because the digest does not cover
	// them and the difference may be applied to another configuration.
	diff.Set.Limits = after.limits
	diff.Remove.Limits = after.limits == RequestLimits{} && before.limits != RequestLimits{}
	diff.Set.Routes, diff.Remove.Routes = diffMaps(before.routes, after.routes, Route.equal)
	diff.Set.Services, diff.Remove.Services = diffMaps(before.services, after.services, equalValues)
	diff.Set.BackendServers, diff.Remove.BackendServers = diffMaps(before.backendServers, after.backendServers, equalValues)
	return diff
}

func diffMaps[K cmp.Ordered, V any](before, after map[K]V, equal func(a, b V) bool) (set []V, remove []K) {
	changed := make(map[K]V)
	for name, value := range after {
		if known, ok := before[name]; !ok || !equal(known, value) {
			changed[name] = value
		}
	}
	for name := range before {
		if _, kept := after[name]; !kept {
			remove = append(remove, name)
		}
	}
	slices.Sort(remove)
	return sortedValues(changed), remove
}

func equalValues[V comparable](a, b V) bool { return a == b }

// Apply returns the configuration after a difference. It also accepts a difference
// from an older configuration than s; the digest of the result then differs from
// that in the difference if s has changes that were undone later. The caller has to
// compare them.
func (s *Snapshot) Apply(diff SnapshotDiff) *Snapshot {
	builder := NewSnapshotBuilder(s)
	builder.Remove(diff.Remove)
	builder.Set(diff.Set)
	return builder.Build(diff.Version.Evaluated, diff.Version.Accepted)
}

// MergeDiffs returns the difference that has the effect of all diffs in order. There
// must be at least one.
func MergeDiffs(diffs []SnapshotDiff) SnapshotDiff {
	merged := SnapshotDiff{Base: diffs[0].Base, Version: diffs[len(diffs)-1].Version}
	var routes changeSet[RouteName, Route]
	var services changeSet[ServiceName, Service]
	var backendServers changeSet[BackendServerName, BackendServer]
	for _, diff := range diffs {
		routes.add(diff.Set.Routes, diff.Remove.Routes, func(r Route) RouteName { return r.Name })
		services.add(diff.Set.Services, diff.Remove.Services, func(s Service) ServiceName { return s.Name })
		backendServers.add(diff.Set.BackendServers, diff.Remove.BackendServers, func(s BackendServer) BackendServerName { return s.Name })
	}
	for _, diff := range diffs {
		merged.addLimits(diff)
	}
	merged.Set.Routes, merged.Remove.Routes = routes.list()
	merged.Set.Services, merged.Remove.Services = services.list()
	merged.Set.BackendServers, merged.Remove.BackendServers = backendServers.list()
	return merged
}

// addLimits adds the change of the limits that a later difference makes.
func (d *SnapshotDiff) addLimits(later SnapshotDiff) {
	if later.Remove.Limits {
		d.Set.Limits, d.Remove.Limits = RequestLimits{}, true
	}
	if later.Set.Limits != (RequestLimits{}) {
		d.Set.Limits, d.Remove.Limits = later.Set.Limits, false
	}
}

// changeSet collects changes of resources of one kind. Later changes replace
// earlier ones.
type changeSet[K cmp.Ordered, V any] struct {
	set    map[K]V
	remove map[K]struct{}
}

func (c *changeSet[K, V]) add(set []V, remove []K, name func(V) K) {
	if c.set == nil {
		c.set, c.remove = make(map[K]V), make(map[K]struct{})
	}
	for _, key := range remove {
		delete(c.set, key)
		c.remove[key] = struct{}{}
	}
	for _, value := range set {
		c.set[name(value)] = value
		delete(c.remove, name(value))
	}
}

// list returns the changes ordered by name.
func (c *changeSet[K, V]) list() (set []V, remove []K) {
	return sortedValues(c.set), slices.Sorted(maps.Keys(c.remove))
}

// ApproximateBytes estimates the encoded size of the difference.
func (d SnapshotDiff) ApproximateBytes() int {
	return Ticket{Set: d.Set, Remove: d.Remove}.ApproximateBytes()
}

// equal reports whether two routes have the same fields.
func (r Route) equal(other Route) bool {
	return r.Name == other.Name &&
		r.Match.Host == other.Match.Host &&
		r.Match.PathPrefix == other.Match.PathPrefix &&
		slices.Equal(r.Match.Methods, other.Match.Methods) &&
		r.Service == other.Service &&
		slices.Equal(r.Split, other.Split) &&
		r.Class == other.Class &&
		r.LatencyTarget == other.LatencyTarget &&
		r.Timeout == other.Timeout &&
		r.Worth == other.Worth &&
		r.Idempotent == other.Idempotent &&
		r.MaxAttempts == other.MaxAttempts &&
		r.CallerLimit == other.CallerLimit
}
