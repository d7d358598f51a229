package state

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// SnapshotBuilder collects the resources of a new Snapshot. It does not check
// whether they are consistent.
type SnapshotBuilder struct {
	routes         map[RouteName]Route
	services       map[ServiceName]Service
	backendServers map[BackendServerName]BackendServer
}

// NewSnapshotBuilder returns a builder that starts from the resources of
// before, or from nothing when before is nil.
func NewSnapshotBuilder(before *Snapshot) *SnapshotBuilder {
	if before == nil {
		return &SnapshotBuilder{
			routes:         make(map[RouteName]Route),
			services:       make(map[ServiceName]Service),
			backendServers: make(map[BackendServerName]BackendServer),
		}
	}
	return &SnapshotBuilder{
		routes:         maps.Clone(before.routes),
		services:       maps.Clone(before.services),
		backendServers: maps.Clone(before.backendServers),
	}
}

// Set adds or replaces resources.
func (b *SnapshotBuilder) Set(resources Resources) {
	for _, route := range resources.Routes {
		b.routes[route.Name] = route
	}
	for _, service := range resources.Services {
		b.services[service.Name] = service
	}
	for _, server := range resources.BackendServers {
		b.backendServers[server.Name] = server
	}
}

// Remove takes resources away. Names that are not there are ignored.
func (b *SnapshotBuilder) Remove(removals Removals) {
	for _, name := range removals.Routes {
		delete(b.routes, name)
	}
	for _, name := range removals.Services {
		delete(b.services, name)
	}
	for _, name := range removals.BackendServers {
		delete(b.backendServers, name)
	}
}

// Build returns the snapshot. The builder must not be used afterwards.
func (b *SnapshotBuilder) Build(judged, accepted TicketNumber) *Snapshot {
	snapshot := &Snapshot{
		judged:         judged,
		accepted:       accepted,
		routes:         b.routes,
		services:       b.services,
		backendServers: b.backendServers,
		byService:      make(map[ServiceName][]BackendServer),
		routesByHost:   make(map[string][]Route),
	}
	for _, server := range sortedValues(b.backendServers) {
		snapshot.byService[server.Service] = append(snapshot.byService[server.Service], server)
	}
	for _, route := range sortedValues(b.routes) {
		host := strings.ToLower(route.Match.Host)
		snapshot.routesByHost[host] = append(snapshot.routesByHost[host], route)
	}
	for _, routes := range snapshot.routesByHost {
		slices.SortStableFunc(routes, func(a, b Route) int {
			return cmp.Compare(len(b.Match.PathPrefix), len(a.Match.PathPrefix))
		})
	}
	snapshot.digest = digestSnapshot(snapshot)
	return snapshot
}

// WithJudged returns a snapshot with the same resources after a rejected
// ticket.
func (s *Snapshot) WithJudged(judged TicketNumber) *Snapshot {
	next := *s
	next.judged = judged
	next.digest = digestSnapshot(&next)
	return &next
}
