package configreview

import (
	"github.com/wasabiport/wasabiport/state"
)

// findRouteConflicts reports limits of routes that contradict each other or those of
// their services.
func findRouteConflicts(findings *findingList, after *state.Snapshot, routes []state.Route) {
	for _, route := range routes {
		path := "routes." + string(route.Name)
		if route.LatencyTarget > route.Timeout {
			findings.add(KindConflict, path+".latency_target",
				"the latency target of %v is above the timeout of %v", route.LatencyTarget, route.Timeout)
		}
		for _, name := range route.Services() {
			if service, ok := after.Service(name); ok {
				findServiceLimits(findings, path, after, route, service)
			}
		}
	}
}

// findServiceLimits reports limits of a route that contradict those of one of its
// services.
func findServiceLimits(findings *findingList, path string, after *state.Snapshot, route state.Route, service state.Service) {
	servers := len(after.BackendServersOf(service.Name))
	if !service.SelfRegistered && route.MaxAttempts > servers {
		findings.add(KindConflict, path+".max_attempts",
			"%d attempts are more than the %d backend servers of service %q", route.MaxAttempts, servers, service.Name)
	}
	if route.Class.Valid() && service.QueueLimits[route.Class] == 0 {
		findings.add(KindConflict, path+".class",
			"calls of class %s may not wait at service %q, as its queue limit is 0, so calls without a free slot are refused",
			route.Class, service.Name)
	}
	if !route.Idempotent && service.RecordRetention < route.Timeout {
		findings.add(KindConflict, path+".timeout",
			"the timeout of %v is above the record retention of service %q, %v, so the record of a call may be dropped while it runs",
			route.Timeout, service.Name, service.RecordRetention)
	}
}

// findServiceConflicts reports limits of services and backend servers that contradict
// each other.
func findServiceConflicts(findings *findingList, resources state.Resources) {
	classes := classesByService(resources.Routes)
	for _, service := range resources.Services {
		used, routed := classes[service.Name]
		if !routed {
			continue
		}
		for _, class := range state.Classes() {
			reserved := service.Floors[class] > 0 && service.Floors[class] != state.DefaultService("").Floors[class]
			if reserved && !used[class] {
				findings.add(KindConflict, "services."+string(service.Name)+".floors."+class.String(),
					"a floor of %v is set for class %s, which no route to service %q has", service.Floors[class], class, service.Name)
			}
		}
	}
	for _, server := range resources.BackendServers {
		if server.Connections < server.Slots {
			findings.add(KindConflict, "backend_servers."+string(server.Name)+".connections",
				"%d connections are fewer than the %d slots, so some slots are never used", server.Connections, server.Slots)
		}
	}
}

// classesByService returns the priority classes of the routes to each service.
func classesByService(routes []state.Route) map[state.ServiceName]map[state.PriorityClass]bool {
	classes := make(map[state.ServiceName]map[state.PriorityClass]bool)
	for _, route := range routes {
		for _, service := range route.Services() {
			if classes[service] == nil {
				classes[service] = make(map[state.PriorityClass]bool)
			}
			classes[service][route.Class] = true
		}
	}
	return classes
}
