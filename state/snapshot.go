package state

import (
	"cmp"
	"maps"
	"slices"
)

// Snapshot is the complete configuration after a ticket was evaluated, together
// with the registry of self-registered backend servers and the drained availability
// zones. It is immutable and safe for concurrent use.
type Snapshot struct {
	evaluated      TicketNumber
	accepted       TicketNumber
	digest         Digest
	resourceSum    uint64
	routes         map[RouteName]Route
	services       map[ServiceName]Service
	backendServers map[BackendServerName]BackendServer
	byService      map[ServiceName][]BackendServer
	// routesByKey holds the routes with the same host and path prefix in order of
	// precedence.
	routesByKey map[routeKey][]Route
	registry    *Registry
	drained     DrainedZones
	limits      RequestLimits
}

// EmptySnapshot returns the configuration before the first ticket.
func EmptySnapshot() *Snapshot {
	return NewSnapshotBuilder(nil).Build(0, 0)
}

// Evaluated returns the number of the latest ticket that was evaluated, whether
// it was accepted or rejected.
func (s *Snapshot) Evaluated() TicketNumber { return s.evaluated }

// Accepted returns the number of the latest accepted ticket.
func (s *Snapshot) Accepted() TicketNumber { return s.accepted }

// Digest returns the digest of the resources and the ticket numbers. It covers
// neither the registry nor the drained zones.
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

// BackendServer returns the backend server with the given name, from tickets or
// from the registry. A registered backend server is ignored unless its service
// is configured as self-registered.
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

// BackendServersOf returns the backend servers of a service, sorted by name. The
// caller must not modify the slice.
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

// Limits returns the limits on requests. The digest does not cover them, so that nodes
// of earlier versions agree with it; each difference between configurations states them.
func (s *Snapshot) Limits() RequestLimits { return s.limits }

// Registry returns the backend servers that have registered themselves.
func (s *Snapshot) Registry() *Registry { return s.registry }

// DrainedZones returns the drained availability zones.
func (s *Snapshot) DrainedZones() DrainedZones { return s.drained }

// IsDrained reports whether the backend servers of a zone get no calls.
func (s *Snapshot) IsDrained(zone AvailabilityZone) bool { return s.drained.Contains(zone) }

// withRegistry returns a copy of the snapshot with another registry.
func (s *Snapshot) withRegistry(registry *Registry) *Snapshot {
	next := *s
	next.registry = registry
	return &next
}

// WithDrainedZones returns the snapshot with other drained zones. It is a copy unless
// the snapshot has the same version of them.
func (s *Snapshot) WithDrainedZones(drained DrainedZones) *Snapshot {
	if s.drained.version == drained.version {
		return s
	}
	next := *s
	next.drained = drained
	return &next
}

// ServersOnHost returns the backend servers from tickets that are on a host, sorted
// by name.
func (s *Snapshot) ServersOnHost(host HostName) []BackendServer {
	var servers []BackendServer
	for _, server := range s.backendServers {
		if server.Host == host {
			servers = append(servers, server)
		}
	}
	slices.SortFunc(servers, func(a, b BackendServer) int { return cmp.Compare(a.Name, b.Name) })
	return servers
}

// Resources returns a copy of all resources from tickets, sorted by name.
func (s *Snapshot) Resources() Resources {
	return Resources{
		Routes:         sortedValues(s.routes),
		Services:       sortedValues(s.services),
		BackendServers: sortedValues(s.backendServers),
		Limits:         s.limits,
	}
}

func sortedValues[K cmp.Ordered, V any](values map[K]V) []V {
	sorted := make([]V, 0, len(values))
	for _, key := range slices.Sorted(maps.Keys(values)) {
		sorted = append(sorted, values[key])
	}
	return sorted
}
