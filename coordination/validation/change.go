package validation

import (
	"slices"
	"strings"

	"github.com/wasabiport/wasabiport/state"
)

// checkChange finds the faults of the step from before to after. The resources
// of before are consistent, so only those that the ticket touches can have
// become wrong.
func checkChange(faults *faultList, before, after *state.Snapshot, ticket state.Ticket) {
	if !ticket.Baseline {
		checkRemovals(faults, before, ticket.Remove)
	}
	checkSetRoutes(faults, after, ticket.Set.Routes)
	checkSetBackendServers(faults, after, ticket.Set.BackendServers)
	checkRemovedServices(faults, after, ticket.Remove.Services)
	checkEmptiedServices(faults, before, after, ticket)
	checkConflicts(faults, after, ticket.Set.Routes)
}

func checkRemovals(faults *faultList, before *state.Snapshot, remove state.Removals) {
	for i, name := range remove.Routes {
		if _, ok := before.Route(name); !ok {
			faults.add(element("remove.routes", i), "route %s does not exist", quote(name))
		}
	}
	for i, name := range remove.Services {
		if _, ok := before.Service(name); !ok {
			faults.add(element("remove.services", i), "service %s does not exist", quote(name))
		}
	}
	for i, name := range remove.BackendServers {
		if _, ok := before.BackendServer(name); !ok {
			faults.add(element("remove.backend_servers", i), "backend server %s does not exist", quote(name))
		}
	}
}

func checkSetRoutes(faults *faultList, after *state.Snapshot, routes []state.Route) {
	for i, route := range routes {
		path := element("set.routes", i) + ".service"
		for _, name := range route.Services() {
			service, ok := after.Service(name)
			if !ok {
				faults.add(path, "route %s names service %s, which does not exist", quote(route.Name), quote(name))
				continue
			}
			if !service.SelfRegistered && len(after.BackendServersOf(name)) == 0 {
				faults.add(path, "route %s names service %s, which has no backend servers", quote(route.Name), quote(name))
			}
		}
	}
}

func checkSetBackendServers(faults *faultList, after *state.Snapshot, servers []state.BackendServer) {
	for i, server := range servers {
		service, ok := after.Service(server.Service)
		path := element("set.backend_servers", i) + ".service"
		switch {
		case !ok:
			faults.add(path, "backend server %s names service %s, which does not exist",
				quote(server.Name), quote(server.Service))
		case service.SelfRegistered:
			faults.add(path, "backend server %s names service %s, whose backend servers register themselves",
				quote(server.Name), quote(server.Service))
		}
	}
}

// checkRemovedServices finds services that are removed while an untouched
// backend server belongs to them.
func checkRemovedServices(faults *faultList, after *state.Snapshot, removed []state.ServiceName) {
	for i, name := range removed {
		servers := after.BackendServersOf(name)
		if len(servers) > 0 {
			faults.add(element("remove.services", i),
				"service %s still has %d backend servers, such as %s", quote(name), len(servers), quote(servers[0].Name))
		}
	}
}

// cause is the place in a ticket that took a service or its last backend
// server away.
type cause struct {
	path   string
	reason string
}

// checkEmptiedServices finds routes that the ticket does not set, but whose
// service or backend servers it takes away.
func checkEmptiedServices(faults *faultList, before, after *state.Snapshot, ticket state.Ticket) {
	emptied := emptiedServices(before, after, ticket)
	if len(emptied) == 0 {
		return
	}
	for _, route := range after.Resources().Routes {
		for _, service := range route.Services() {
			cause, ok := emptied[service]
			if ok && !setsRoute(ticket, route.Name) {
				faults.add(cause.path, "service %s %s, but route %s uses it", quote(service), cause.reason, quote(route.Name))
			}
		}
	}
}

func emptiedServices(before, after *state.Snapshot, ticket state.Ticket) map[state.ServiceName]cause {
	emptied := make(map[state.ServiceName]cause)
	note := func(server state.BackendServerName, path string) {
		old, ok := before.BackendServer(server)
		if ok && len(after.BackendServersOf(old.Service)) == 0 {
			emptied[old.Service] = cause{path: path, reason: "loses its last backend server"}
		}
	}
	for i, name := range ticket.Remove.BackendServers {
		note(name, element("remove.backend_servers", i))
	}
	for i, server := range ticket.Set.BackendServers {
		note(server.Name, element("set.backend_servers", i)+".service")
	}
	for i, name := range ticket.Remove.Services {
		emptied[name] = cause{path: element("remove.services", i), reason: "is removed"}
	}
	return emptied
}

func setsRoute(ticket state.Ticket, name state.RouteName) bool {
	return slices.ContainsFunc(ticket.Set.Routes, func(route state.Route) bool { return route.Name == name })
}

// checkConflicts finds routes that match the same requests as another one, so
// that the choice between them would depend on their names.
func checkConflicts(faults *faultList, after *state.Snapshot, set []state.Route) {
	for i, route := range set {
		for _, other := range after.RoutesForHost(strings.ToLower(route.Match.Host)) {
			if other.Name == route.Name || !matchesOverlap(route.Match, other.Match) {
				continue
			}
			faults.add(element("set.routes", i)+".match", "route %s matches the same requests as route %s",
				quote(route.Name), quote(other.Name))
		}
	}
}

func matchesOverlap(a, b state.Match) bool {
	if strings.TrimSuffix(a.PathPrefix, "/") != strings.TrimSuffix(b.PathPrefix, "/") {
		return false
	}
	if len(a.Methods) == 0 || len(b.Methods) == 0 {
		// A route that names methods is an exception from one that does
		// not; only two of the same kind conflict.
		return len(a.Methods) == len(b.Methods)
	}
	return slices.ContainsFunc(a.Methods, func(method string) bool { return slices.Contains(b.Methods, method) })
}
