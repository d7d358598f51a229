package validation

import "github.com/wasabiport/wasabiport/state"

// Limits of one ticket.
const (
	// MaxResources is the number of resources that a ticket may set and
	// remove together.
	MaxResources = 20_000
	// MaxNameBytes is the length of the longest name.
	MaxNameBytes = 128
)

// CheckTicket returns the faults that can be seen in the ticket alone.
func CheckTicket(ticket state.Ticket) []state.ValidationError {
	faults := &faultList{}
	checkTicket(faults, ticket)
	return faults.list()
}

func checkTicket(faults *faultList, ticket state.Ticket) {
	faults.addMalformed(ticket.Malformed)
	if ticket.Number == 0 {
		faults.add("number", "ticket numbers start at 1")
	}
	if count := resourceCount(ticket); count > MaxResources {
		faults.add("ticket", "touches %d resources; the limit is %d", count, MaxResources)
		return
	}
	checkBaseline(faults, ticket)
	checkSet(faults, ticket.Set)
	checkNames(faults, "route", "routes", routeNames(ticket.Set.Routes), ticket.Remove.Routes)
	checkNames(faults, "service", "services", serviceNames(ticket.Set.Services), ticket.Remove.Services)
	checkNames(faults, "backend server", "backend_servers",
		backendServerNames(ticket.Set.BackendServers), ticket.Remove.BackendServers)
}

func resourceCount(ticket state.Ticket) int {
	return len(ticket.Set.Routes) + len(ticket.Set.Services) + len(ticket.Set.BackendServers) + removalCount(ticket)
}

func removalCount(ticket state.Ticket) int {
	return len(ticket.Remove.Routes) + len(ticket.Remove.Services) + len(ticket.Remove.BackendServers)
}

func checkBaseline(faults *faultList, ticket state.Ticket) {
	if ticket.Baseline && removalCount(ticket) > 0 {
		faults.add("remove", "a baseline replaces the whole configuration and can't remove resources")
	}
}

func checkSet(faults *faultList, set state.Resources) {
	for i, route := range set.Routes {
		checkRoute(faults, element("set.routes", i), route)
	}
	for i, service := range set.Services {
		checkService(faults, element("set.services", i), service)
	}
	for i, server := range set.BackendServers {
		checkBackendServer(faults, element("set.backend_servers", i), server)
	}
}

// checkNames finds names that occur more than once in the ticket.
func checkNames[N ~string](faults *faultList, kind, list string, set, removed []N) {
	setAt := make(map[N]int, len(set))
	for i, name := range set {
		if first, twice := setAt[name]; twice {
			faults.add(element("set."+list, i)+".name", "%s %s is already set by set.%s[%d]", kind, quote(name), list, first)
			continue
		}
		setAt[name] = i
	}
	removedAt := make(map[N]int, len(removed))
	for i, name := range removed {
		path := element("remove."+list, i)
		checkName(faults, path, kind, name)
		if at, both := setAt[name]; both {
			faults.add(path, "%s %s is both removed and set by set.%s[%d]", kind, quote(name), list, at)
		}
		if first, twice := removedAt[name]; twice {
			faults.add(path, "%s %s is already removed by remove.%s[%d]", kind, quote(name), list, first)
			continue
		}
		removedAt[name] = i
	}
}

// checkName requires 1 to MaxNameBytes letters, digits, '.', '_' and '-', of
// which the first is a letter or digit.
func checkName[N ~string](faults *faultList, path, kind string, name N) {
	switch {
	case name == "":
		faults.add(path, "%s name is empty", kind)
	case len(name) > MaxNameBytes:
		faults.add(path, "%s name %s has %d bytes; the limit is %d", kind, quote(name), len(name), MaxNameBytes)
	case !isAlphanumeric(name[0]):
		faults.add(path, "%s name %s does not start with a letter or digit", kind, quote(name))
	case !hasNameCharacters(string(name)):
		faults.add(path, "%s name %s has characters other than letters, digits, '.', '_' and '-'", kind, quote(name))
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
