package state

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// SnapshotBuilder builds a new Snapshot, usually from an existing one. It does
// not check whether the resources are consistent. It reuses the indexes and
// hashes of unchanged resources, so the cost of hashing and indexing grows with
// the size of the change.
type SnapshotBuilder struct {
	routes         map[RouteName]Route
	services       map[ServiceName]Service
	backendServers map[BackendServerName]BackendServer
	byService      map[ServiceName][]BackendServer
	routesByKey    map[routeKey][]Route
	// resourceSum is the sum of the hashes of all resources.
	resourceSum uint64
	// staleServices are the keys of byService whose entries have to be rebuilt.
	staleServices map[ServiceName]struct{}
	limits        RequestLimits
}

// NewSnapshotBuilder returns a builder that starts with the resources of base, or
// without resources if base is nil.
func NewSnapshotBuilder(base *Snapshot) *SnapshotBuilder {
	builder := &SnapshotBuilder{staleServices: make(map[ServiceName]struct{})}
	if base == nil {
		builder.routes = make(map[RouteName]Route)
		builder.services = make(map[ServiceName]Service)
		builder.backendServers = make(map[BackendServerName]BackendServer)
		builder.byService = make(map[ServiceName][]BackendServer)
		builder.routesByKey = make(map[routeKey][]Route)
		return builder
	}
	builder.routes = maps.Clone(base.routes)
	builder.services = maps.Clone(base.services)
	builder.backendServers = maps.Clone(base.backendServers)
	builder.byService = maps.Clone(base.byService)
	builder.routesByKey = maps.Clone(base.routesByKey)
	builder.resourceSum = base.resourceSum
	builder.limits = base.limits
	return builder
}

// Set adds or replaces resources.
func (b *SnapshotBuilder) Set(resources Resources) {
	if resources.Limits != (RequestLimits{}) {
		b.limits = resources.Limits
	}
	for _, route := range resources.Routes {
		b.removeRoute(route.Name)
		b.resourceSum += hashRoute(route)
		b.routes[route.Name] = route
		b.indexRoute(route)
	}
	for _, service := range resources.Services {
		b.removeService(service.Name)
		b.resourceSum += hashService(service)
		b.services[service.Name] = service
	}
	for _, server := range resources.BackendServers {
		b.removeBackendServer(server.Name)
		b.staleServices[server.Service] = struct{}{}
		b.resourceSum += hashBackendServer(server)
		b.backendServers[server.Name] = server
	}
}

// Remove removes resources. Names that do not exist are ignored.
func (b *SnapshotBuilder) Remove(removals Removals) {
	if removals.Limits {
		b.limits = RequestLimits{}
	}
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
	b.resourceSum -= hashRoute(route)
	delete(b.routes, name)
	b.unindexRoute(route)
}

// indexRoute adds a route to the index. It changes no slice of the index, as
// snapshots share them.
func (b *SnapshotBuilder) indexRoute(route Route) {
	key := keyOf(route)
	routes := append(slices.Clone(b.routesByKey[key]), route)
	slices.SortFunc(routes, compareRoutes)
	b.routesByKey[key] = routes
}

// unindexRoute removes a route from the index.
func (b *SnapshotBuilder) unindexRoute(route Route) {
	key := keyOf(route)
	routes := slices.DeleteFunc(slices.Clone(b.routesByKey[key]), func(other Route) bool { return other.Name == route.Name })
	if len(routes) == 0 {
		delete(b.routesByKey, key)
		return
	}
	b.routesByKey[key] = routes
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
	b.staleServices[server.Service] = struct{}{}
	b.resourceSum -= hashBackendServer(server)
	delete(b.backendServers, name)
}

// Build returns the snapshot. The builder must not be used afterwards.
func (b *SnapshotBuilder) Build(evaluated, accepted TicketNumber) *Snapshot {
	b.indexBackendServers()
	return &Snapshot{
		evaluated:      evaluated,
		accepted:       accepted,
		resourceSum:    b.resourceSum,
		digest:         digestOf(evaluated, accepted, b.resourceSum),
		routes:         b.routes,
		services:       b.services,
		backendServers: b.backendServers,
		byService:      b.byService,
		routesByKey:    b.routesByKey,
		registry:       emptyRegistry,
		limits:         b.limits,
	}
}

func (b *SnapshotBuilder) indexBackendServers() {
	if len(b.staleServices) == 0 {
		return
	}
	for service := range b.staleServices {
		delete(b.byService, service)
	}
	for _, server := range b.backendServers {
		if _, stale := b.staleServices[server.Service]; stale {
			b.byService[server.Service] = append(b.byService[server.Service], server)
		}
	}
	for service := range b.staleServices {
		slices.SortFunc(b.byService[service], func(a, c BackendServer) int {
			return cmp.Compare(a.Name, c.Name)
		})
	}
}

// compareRoutes defines the precedence of routes with the same host: the longest
// path prefix first, then routes with methods before routes for all methods, then
// by name.
func compareRoutes(a, b Route) int {
	return cmp.Or(
		cmp.Compare(pathPrefixLength(b), pathPrefixLength(a)),
		cmp.Compare(min(1, len(b.Match.Methods)), min(1, len(a.Match.Methods))),
		cmp.Compare(a.Name, b.Name),
	)
}

func pathPrefixLength(route Route) int { return len(route.Match.PathPrefix) }

func normalizedHost(route Route) string { return strings.ToLower(route.Match.Host) }

// WithEvaluated returns a copy of the snapshot that records a rejected ticket:
// the resources stay the same, and evaluated is the new latest evaluated ticket.
func (s *Snapshot) WithEvaluated(evaluated TicketNumber) *Snapshot {
	next := *s
	next.evaluated = evaluated
	next.digest = digestOf(evaluated, next.accepted, next.resourceSum)
	return &next
}
