package state

import (
	"cmp"
	"maps"
	"slices"
)

// Snapshot is the whole configuration after a ticket was judged. It is
// immutable and safe for use by many threads.
type Snapshot struct {
	judged         TicketNumber
	accepted       TicketNumber
	digest         Digest
	resourceSum    uint64
	routes         map[RouteName]Route
	services       map[ServiceName]Service
	backendServers map[BackendServerName]BackendServer
	byService      map[ServiceName][]BackendServer
	routesByHost   map[string][]Route
	registry       *Registry
}

// EmptySnapshot returns the configuration before the first ticket.
func EmptySnapshot() *Snapshot {
	return NewSnapshotBuilder(nil).Build(0, 0)
}

// Evaluated returns the number of the latest ticket that was judged, whether it
// was accepted or rejected.
func (s *Snapshot) Evaluated() TicketNumber { return s.judged }

// Accepted returns the number of the latest accepted ticket.
func (s *Snapshot) Accepted() TicketNumber { return s.accepted }

// Digest returns the digest of the resources and ticket numbers.
func (s *Snapshot) Digest() Digest { return s.digest }

// Route returns the route with the given name.
func (s *Snapshot) Route(name RouteName) (Route, bool) {
	route, ok := s.routes[name]
	return route, ok
}

// Service returns the service with the given name.
func (s *Snapshot) Service(name ServiceName) (Service, bool) {
	service, ok := s.services[name]
	return service, ok
}

// BackendServer returns the backend server with the given name.
func (s *Snapshot) BackendServer(name BackendServerName) (BackendServer, bool) {
	if server, ok := s.backendServers[name]; ok {
		return server, true
	}
	server, ok := s.registry.Server(name)
	if !ok {
		return BackendServer{}, false
	}
	return s.withConnections(server), s.services[server.Service].SelfRegistered
}

// BackendServersOf returns the backend servers of a service, ordered by name.
// The caller must not change the slice.
func (s *Snapshot) BackendServersOf(service ServiceName) []BackendServer {
	if s.services[service].SelfRegistered {
		return s.registry.serversOf(service)
	}
	return s.byService[service]
}

func (s *Snapshot) withConnections(server BackendServer) BackendServer {
	server.Connections = s.services[server.Service].Connections
	return server
}

// Registry returns the backend servers that have registered themselves.
func (s *Snapshot) Registry() *Registry { return s.registry }

// withRegistry returns a snapshot with the same configuration and another
// registry. The digest covers the configuration alone.
func (s *Snapshot) withRegistry(registry *Registry) *Snapshot {
	next := *s
	next.registry = registry
	return &next
}

// RoutesForHost returns the routes whose match names exactly this host (empty
// for routes that match every host), longest path prefix first and among equal
// prefixes those that name methods first. The caller must not change the
// slice.
func (s *Snapshot) RoutesForHost(host string) []Route {
	return s.routesByHost[host]
}

// Resources returns a copy of all resources, ordered by name.
func (s *Snapshot) Resources() Resources {
	return Resources{
		Routes:         sortedValues(s.routes),
		Services:       sortedValues(s.services),
		BackendServers: sortedValues(s.backendServers),
	}
}

func sortedValues[K cmp.Ordered, V any](values map[K]V) []V {
	sorted := make([]V, 0, len(values))
	for _, key := range slices.Sorted(maps.Keys(values)) {
		sorted = append(sorted, values[key])
	}
	return sorted
}
