package state

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// SnapshotBuilder collects the resources of a new Snapshot. It does not check
// whether they are consistent. Its cost grows with the resources that change:
// indexes and hashes of the others are taken over.
type SnapshotBuilder struct {
	routes         map[RouteName]Route
	services       map[ServiceName]Service
	backendServers map[BackendServerName]BackendServer
	byService      map[ServiceName][]BackendServer
	routesByHost   map[string][]Route
	// resourceSum is the sum of the hashes of all resources.
	resourceSum uint64
	// touchedServices and touchedHosts name the indexes to build again.
	touchedServices map[ServiceName]struct{}
	touchedHosts    map[string]struct{}
}

// NewSnapshotBuilder returns a builder that starts from the resources of
// before, or from nothing when before is nil.
func NewSnapshotBuilder(before *Snapshot) *SnapshotBuilder {
	builder := &SnapshotBuilder{
		touchedServices: make(map[ServiceName]struct{}),
		touchedHosts:    make(map[string]struct{}),
	}
	if before == nil {
		builder.routes = make(map[RouteName]Route)
		builder.services = make(map[ServiceName]Service)
		builder.backendServers = make(map[BackendServerName]BackendServer)
		builder.byService = make(map[ServiceName][]BackendServer)
		builder.routesByHost = make(map[string][]Route)
		return builder
	}
	builder.routes = maps.Clone(before.routes)
	builder.services = maps.Clone(before.services)
	builder.backendServers = maps.Clone(before.backendServers)
	builder.byService = maps.Clone(before.byService)
	builder.routesByHost = maps.Clone(before.routesByHost)
	builder.resourceSum = before.resourceSum
	return builder
}

// Set adds or replaces resources.
func (b *SnapshotBuilder) Set(resources Resources) {
	for _, route := range resources.Routes {
		b.removeRoute(route.Name)
		b.touchedHosts[routeHost(route)] = struct{}{}
		b.resourceSum += hashRoute(route)
		b.routes[route.Name] = route
	}
	for _, service := range resources.Services {
		b.removeService(service.Name)
		b.resourceSum += hashService(service)
		b.services[service.Name] = service
	}
	for _, server := range resources.BackendServers {
		b.removeBackendServer(server.Name)
		b.touchedServices[server.Service] = struct{}{}
		b.resourceSum += hashBackendServer(server)
		b.backendServers[server.Name] = server
	}
}

// Remove takes resources away. Names that are not there are ignored.
func (b *SnapshotBuilder) Remove(removals Removals) {
	for _, name := range removals.Routes {
		b.removeRoute(name)
	}
	for _, name := range removals.Services {
		b.removeService(name)
	}
	for _, name := range removals.BackendServers {
		b.removeBackendServer(name)
	}
}

func (b *SnapshotBuilder) removeRoute(name RouteName) {
	route, ok := b.routes[name]
	if !ok {
		return
	}
	b.touchedHosts[routeHost(route)] = struct{}{}
	b.resourceSum -= hashRoute(route)
	delete(b.routes, name)
}

func (b *SnapshotBuilder) removeService(name ServiceName) {
	service, ok := b.services[name]
	if !ok {
		return
	}
	b.resourceSum -= hashService(service)
	delete(b.services, name)
}

func (b *SnapshotBuilder) removeBackendServer(name BackendServerName) {
	server, ok := b.backendServers[name]
	if !ok {
		return
	}
	b.touchedServices[server.Service] = struct{}{}
	b.resourceSum -= hashBackendServer(server)
	delete(b.backendServers, name)
}

// Build returns the snapshot. The builder must not be used afterwards.
func (b *SnapshotBuilder) Build(judged, accepted TicketNumber) *Snapshot {
	b.indexBackendServers()
	b.indexRoutes()
	return &Snapshot{
		judged:         judged,
		accepted:       accepted,
		resourceSum:    b.resourceSum,
		digest:         digestOf(judged, accepted, b.resourceSum),
		routes:         b.routes,
		services:       b.services,
		backendServers: b.backendServers,
		byService:      b.byService,
		routesByHost:   b.routesByHost,
		registry:       emptyRegistry,
	}
}

func (b *SnapshotBuilder) indexBackendServers() {
	if len(b.touchedServices) == 0 {
		return
	}
	for service := range b.touchedServices {
		delete(b.byService, service)
	}
	for _, server := range b.backendServers {
		if _, touched := b.touchedServices[server.Service]; touched {
			b.byService[server.Service] = append(b.byService[server.Service], server)
		}
	}
	for service := range b.touchedServices {
		slices.SortFunc(b.byService[service], func(a, c BackendServer) int {
			return cmp.Compare(a.Name, c.Name)
		})
	}
}

func (b *SnapshotBuilder) indexRoutes() {
	if len(b.touchedHosts) == 0 {
		return
	}
	for host := range b.touchedHosts {
		delete(b.routesByHost, host)
	}
	for _, route := range b.routes {
		host := routeHost(route)
		if _, touched := b.touchedHosts[host]; touched {
			b.routesByHost[host] = append(b.routesByHost[host], route)
		}
	}
	for host := range b.touchedHosts {
		slices.SortFunc(b.routesByHost[host], compareRoutes)
	}
}

// compareRoutes orders routes by the length of their path prefix, longest
// first, then those that name methods before those that serve all, then by
// name.
func compareRoutes(a, b Route) int {
	return cmp.Or(
		cmp.Compare(prefixLength(b), prefixLength(a)),
		cmp.Compare(min(1, len(b.Match.Methods)), min(1, len(a.Match.Methods))),
		cmp.Compare(a.Name, b.Name),
	)
}

func prefixLength(route Route) int { return len(route.Match.PathPrefix) }

func routeHost(route Route) string { return strings.ToLower(route.Match.Host) }

// WithEvaluated returns a snapshot with the same resources after a rejected
// ticket.
func (s *Snapshot) WithEvaluated(judged TicketNumber) *Snapshot {
	next := *s
	next.judged = judged
	next.digest = digestOf(judged, next.accepted, next.resourceSum)
	return &next
}
