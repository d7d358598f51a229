package validation

import "github.com/wasabiport/wasabiport/state"

// Limits on a ticket.
const (
	// MaxResources is the maximum number of resources that a ticket sets and
	// removes in total.
	MaxResources = 20_000
	// MaxNameBytes is the maximum length of a name.
	MaxNameBytes = 128
)

// CheckTicket returns the errors that do not depend on the configuration that the
// ticket applies to.
func CheckTicket(ticket state.Ticket) []state.ValidationError {
	errs := &errorList{}
	checkTicket(errs, ticket)
	return errs.list()
}

func checkTicket(errs *errorList, ticket state.Ticket) {
	errs.addMalformed(ticket.Malformed)
	if ticket.Number == 0 {
		errs.add("number", "ticket numbers start at 1")
	}
	if count := resourceCount(ticket); count > MaxResources {
		errs.add("ticket", "touches %d resources; the limit is %d", count, MaxResources)
		return
	}
	checkBaseline(errs, ticket)
	checkSet(errs, ticket.Set)
	checkNames(errs, "route", "routes", routeNames(ticket.Set.Routes), ticket.Remove.Routes)
	checkNames(errs, "service", "services", serviceNames(ticket.Set.Services), ticket.Remove.Services)
	checkNames(errs, "backend server", "backend_servers",
		backendServerNames(ticket.Set.BackendServers), ticket.Remove.BackendServers)
}

func resourceCount(ticket state.Ticket) int {
	return len(ticket.Set.Routes) + len(ticket.Set.Services) + len(ticket.Set.BackendServers) + removalCount(ticket)
}

func removalCount(ticket state.Ticket) int {
	return len(ticket.Remove.Routes) + len(ticket.Remove.Services) + len(ticket.Remove.BackendServers)
}

func checkBaseline(errs *errorList, ticket state.Ticket) {
	if ticket.Baseline && (removalCount(ticket) > 0 || ticket.Remove.Limits) {
		errs.add("remove", "a baseline replaces the whole configuration and can't remove resources")
	}
}

func checkSet(errs *errorList, set state.Resources) {
	for i, route := range set.Routes {
		checkRoute(errs, indexedPath("set.routes", i), route)
	}
	for i, service := range set.Services {
		checkService(errs, indexedPath("set.services", i), service)
	}
	for i, server := range set.BackendServers {
		checkBackendServer(errs, indexedPath("set.backend_servers", i), server)
	}
}

// checkNames reports names that occur more than once in the ticket, and invalid
// names of removed resources.
func checkNames[N ~string](errs *errorList, kind, list string, set, removed []N) {
	setAt := make(map[N]int, len(set))
	for i, name := range set {
		if first, duplicate := setAt[name]; duplicate {
			errs.add(indexedPath("set."+list, i)+".name", "%s %s is already set by set.%s[%d]", kind, quote(name), list, first)
			continue
		}
		setAt[name] = i
	}
	removedAt := make(map[N]int, len(removed))
	for i, name := range removed {
		path := indexedPath("remove."+list, i)
		checkName(errs, path, kind, name)
		if at, isSet := setAt[name]; isSet {
			errs.add(path, "%s %s is both removed and set by set.%s[%d]", kind, quote(name), list, at)
		}
		if first, duplicate := removedAt[name]; duplicate {
			errs.add(path, "%s %s is already removed by remove.%s[%d]", kind, quote(name), list, first)
			continue
		}
		removedAt[name] = i
	}
}

// IsName reports whether a text can be the name of a resource, or the host of a route.
func IsName[N ~string](name N) bool {
	errs := &errorList{}
	checkName(errs, "", "", name)
	return len(errs.errors) == 0
}

// checkName checks that name consists of 1 to MaxNameBytes letters, digits, '.',
// '_' and '-', and starts with a letter or digit.
func checkName[N ~string](errs *errorList, path, kind string, name N) {
	switch {
	case name == "":
		errs.add(path, "%s name is empty", kind)
	case len(name) > MaxNameBytes:
		errs.add(path, "%s name %s has %d bytes; the limit is %d", kind, quote(name), len(name), MaxNameBytes)
	case !isAlphanumeric(name[0]):
		errs.add(path, "%s name %s does not start with a letter or digit", kind, quote(name))
	case !hasNameCharacters(string(name)):
		errs.add(path, "%s name %s has characters other than letters, digits, '.', '_' and '-'", kind, quote(name))
	}
}

func hasNameCharacters(name string) bool {
	for i := range len(name) {
		if c := name[i]; !isAlphanumeric(c) && c != '.' && c != '_' && c != '-' {
			return false
		}
	}
	return true
}

func isAlphanumeric(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
}

func routeNames(routes []state.Route) []state.RouteName {
	names := make([]state.RouteName, len(routes))
	for i := range routes {
		names[i] = routes[i].Name
	}
	return names
}

func serviceNames(services []state.Service) []state.ServiceName {
	names := make([]state.ServiceName, len(services))
	for i := range services {
		names[i] = services[i].Name
	}
	return names
}

func backendServerNames(servers []state.BackendServer) []state.BackendServerName {
	names := make([]state.BackendServerName, len(servers))
	for i := range servers {
		names[i] = servers[i].Name
	}
	return names
}
