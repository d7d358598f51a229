package validation

import (
	"slices"
	"strings"

	"github.com/wasabiport/wasabiport/state"
)

// checkChange checks that ticket leaves the configuration consistent. before is
// consistent, so only resources that the ticket sets or removes, and resources
// that refer to them, have to be checked.
func checkChange(errs *errorList, before, after *state.Snapshot, ticket state.Ticket) {
	if !ticket.Baseline {
		checkRemovals(errs, before, ticket.Remove)
	}
	checkConsistency(errs, before, after, ticket)
}

// checkConsistency checks what the resources that ticket sets and removes refer to,
// and what refers to them.
func checkConsistency(errs *errorList, before, after *state.Snapshot, ticket state.Ticket) {
	checkSetRoutes(errs, after, ticket.Set.Routes)
	checkSetBackendServers(errs, after, ticket.Set.BackendServers)
	checkRemovedServices(errs, after, ticket.Remove.Services)
	checkUnavailableServices(errs, before, after, ticket)
	checkConflicts(errs, after, ticket.Set.Routes)
}

func checkRemovals(errs *errorList, before *state.Snapshot, remove state.Removals) {
	for i, name := range remove.Routes {
		if _, ok := before.Route(name); !ok {
			errs.add(indexedPath("remove.routes", i), "route %s does not exist", quote(name))
		}
	}
	for i, name := range remove.Services {
		if _, ok := before.Service(name); !ok {
			errs.add(indexedPath("remove.services", i), "service %s does not exist", quote(name))
		}
	}
	for i, name := range remove.BackendServers {
		if _, ok := before.BackendServer(name); !ok {
			errs.add(indexedPath("remove.backend_servers", i), "backend server %s does not exist", quote(name))
		}
	}
}

func checkSetRoutes(errs *errorList, after *state.Snapshot, routes []state.Route) {
	for i, route := range routes {
		path := indexedPath("set.routes", i) + ".service"
		for _, name := range route.Services() {
			service, ok := after.Service(name)
			if !ok {
				errs.add(path, "route %s names service %s, which does not exist", quote(route.Name), quote(name))
				continue
			}
			if !service.SelfRegistered && len(after.BackendServersOf(name)) == 0 {
				errs.add(path, "route %s names service %s, which has no backend servers", quote(route.Name), quote(name))
			}
		}
	}
}

func checkSetBackendServers(errs *errorList, after *state.Snapshot, servers []state.BackendServer) {
	for i, server := range servers {
		service, ok := after.Service(server.Service)
		path := indexedPath("set.backend_servers", i) + ".service"
		switch {
		case !ok:
			errs.add(path, "backend server %s names service %s, which does not exist",
				quote(server.Name), quote(server.Service))
		case service.SelfRegistered:
			errs.add(path, "backend server %s names service %s, whose backend servers register themselves",
				quote(server.Name), quote(server.Service))
		}
	}
}

// checkRemovedServices reports removed services that still have backend servers.
func checkRemovedServices(errs *errorList, after *state.Snapshot, removed []state.ServiceName) {
	for i, name := range removed {
		servers := after.BackendServersOf(name)
		if len(servers) > 0 {
			errs.add(indexedPath("remove.services", i),
				"service %s still has %d backend servers, such as %s", quote(name), len(servers), quote(servers[0].Name))
		}
	}
}

// cause is the part of a ticket that makes a service unavailable, by removing the
// service or its last backend server.
type cause struct {
	path   string
	reason string
}

// checkUnavailableServices reports existing routes to services that the ticket
// removes or leaves without backend servers. Routes that the ticket sets are
// checked by checkSetRoutes.
func checkUnavailableServices(errs *errorList, before, after *state.Snapshot, ticket state.Ticket) {
	unavailable := unavailableServices(before, after, ticket)
	if len(unavailable) == 0 {
		return
	}
	for _, route := range after.Resources().Routes {
		for _, service := range route.Services() {
			cause, ok := unavailable[service]
			if ok && !setsRoute(ticket, route.Name) {
				errs.add(cause.path, "service %s %s, but route %s uses it", quote(service), cause.reason, quote(route.Name))
			}
		}
	}
}

// unavailableServices returns the services that the ticket removes or leaves
// without backend servers.
func unavailableServices(before, after *state.Snapshot, ticket state.Ticket) map[state.ServiceName]cause {
	unavailable := make(map[state.ServiceName]cause)
	markIfEmpty := func(server state.BackendServerName, path string) {
		old, ok := before.BackendServer(server)
		if ok && len(after.BackendServersOf(old.Service)) == 0 {
			unavailable[old.Service] = cause{path: path, reason: "loses its last backend server"}
		}
	}
	for i, name := range ticket.Remove.BackendServers {
		markIfEmpty(name, indexedPath("remove.backend_servers", i))
	}
	for i, server := range ticket.Set.BackendServers {
		markIfEmpty(server.Name, indexedPath("set.backend_servers", i)+".service")
	}
	for i, name := range ticket.Remove.Services {
		unavailable[name] = cause{path: indexedPath("remove.services", i), reason: "is removed"}
	}
	return unavailable
}

func setsRoute(ticket state.Ticket, name state.RouteName) bool {
	return slices.ContainsFunc(ticket.Set.Routes, func(route state.Route) bool { return route.Name == name })
}

// checkConflicts reports set routes that match the same requests as another
// route, as their precedence would depend on their names.
func checkConflicts(errs *errorList, after *state.Snapshot, set []state.Route) {
	for i, route := range set {
		for other := range after.RoutesWithPrefix(strings.ToLower(route.Match.Host), route.Match.PathPrefix) {
			if other.Name == route.Name || !methodsOverlap(route.Match, other.Match) {
				continue
			}
			errs.add(indexedPath("set.routes", i)+".match", "route %s matches the same requests as route %s",
				quote(route.Name), quote(other.Name))
		}
	}
}

func methodsOverlap(a, b state.Match) bool {
	if len(a.Methods) == 0 || len(b.Methods) == 0 {
		// A route with methods takes precedence over a route for all methods,
		// so they do not conflict.
		return len(a.Methods) == len(b.Methods)
	}
	return slices.ContainsFunc(a.Methods, func(method string) bool { return slices.Contains(b.Methods, method) })
}
