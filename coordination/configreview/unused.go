package configreview

import (
	"fmt"
	"strings"

	"github.com/wasabiport/wasabiport/state"
)

// callMethods are the methods that a route may list.
var callMethods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

// findUnusedRoutes reports routes, and parts of routes, that no request can match.
func findUnusedRoutes(findings *findingList, after *state.Snapshot, routes []state.Route) {
	for _, route := range routes {
		path := "routes." + string(route.Name)
		if hasDotSegment(route.Match.PathPrefix) {
			findings.add(KindUnused, path+".match.path_prefix",
				"route %q never matches, as requests whose path has the segments . or .. are refused", route.Name)
		}
		if shadowing := methodRoutesInstead(after, route); len(shadowing) > 0 {
			findings.add(KindUnused, path+".match",
				"route %q never matches, as routes with methods match every request first: %s", route.Name, strings.Join(shadowing, ", "))
		}
		for i, part := range route.Split {
			if part.Weight == 0 {
				findings.add(KindUnused, fmt.Sprintf("%s.split[%d].weight", path, i),
					"the part %q of route %q gets no calls, as its weight is 0", part.Service, route.Name)
			}
		}
	}
}

// hasDotSegment reports whether a path prefix has a segment that no accepted request has.
func hasDotSegment(prefix string) bool {
	for segment := range strings.SplitSeq(prefix, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

// methodRoutesInstead returns the routes that take all requests of a route for all
// methods, because they match the same host and prefix and list every method.
func methodRoutesInstead(after *state.Snapshot, route state.Route) []string {
	if len(route.Match.Methods) > 0 {
		return nil
	}
	var names []string
	listed := make(map[string]bool)
	for other := range after.RoutesWithPrefix(strings.ToLower(route.Match.Host), route.Match.PathPrefix) {
		if other.Match.PathPrefix != route.Match.PathPrefix || len(other.Match.Methods) == 0 {
			continue
		}
		names = append(names, string(other.Name))
		for _, method := range other.Match.Methods {
			listed[method] = true
		}
	}
	for _, method := range callMethods {
		servedAsGet := method == "HEAD" && listed["GET"]
		if !listed[method] && !servedAsGet {
			return nil
		}
	}
	return names
}

// findUnusedServices reports services that no route leads to.
func findUnusedServices(findings *findingList, resources state.Resources) {
	used := make(map[state.ServiceName]bool)
	for _, route := range resources.Routes {
		for _, service := range route.Services() {
			used[service] = true
		}
	}
	for _, service := range resources.Services {
		if !used[service.Name] {
			findings.add(KindUnused, "services."+string(service.Name), "no route leads to service %q", service.Name)
		}
	}
}
