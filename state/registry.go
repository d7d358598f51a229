package state

import (
	"cmp"
	"maps"
	"slices"
)

// Registry holds the backend servers that have registered themselves instead of
// being listed in tickets. It is immutable and safe for concurrent use.
type Registry struct {
	version   uint64
	byName    map[BackendServerName]BackendServer
	byService map[ServiceName][]BackendServer
}

var emptyRegistry = NewRegistry(0, nil)

// NewRegistry returns a registry of the given servers. Higher versions are
// newer.
func NewRegistry(version uint64, servers []BackendServer) *Registry {
	registry := &Registry{
		version:   version,
		byName:    make(map[BackendServerName]BackendServer, len(servers)),
		byService: make(map[ServiceName][]BackendServer),
	}
	for _, server := range servers {
		registry.byName[server.Name] = server
	}
	for _, server := range registry.byName {
		registry.byService[server.Service] = append(registry.byService[server.Service], server)
	}
	for _, servers := range registry.byService {
		slices.SortFunc(servers, func(a, b BackendServer) int { return cmp.Compare(a.Name, b.Name) })
	}
	return registry
}

// Version returns the version of the registry. Version 0 is the empty registry
// that a node has before it receives the first one.
func (r *Registry) Version() uint64 { return r.version }

// Server returns the backend server with the given name.
func (r *Registry) Server(name BackendServerName) (BackendServer, bool) {
	server, ok := r.byName[name]
	return server, ok
}

// Servers returns all backend servers in unspecified order.
func (r *Registry) Servers() []BackendServer {
	return slices.Collect(maps.Values(r.byName))
}

func (r *Registry) serversOf(service ServiceName) []BackendServer { return r.byService[service] }
