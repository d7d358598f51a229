// Package routing selects the route of a request and the service of a call.
package routing

import (
	"slices"
	"strings"

	"github.com/wasabiport/wasabiport/state"
)

// Match returns the route of a request. Routes for the host take precedence over
// routes for all hosts; among these, the longest matching path prefix wins. host
// must be in lower case and without the port.
func Match(snapshot *state.Snapshot, host, path, method string) (state.Route, bool) {
	if route, ok := firstMatch(snapshot, host, path, method); ok {
		return route, true
	}
	return firstMatch(snapshot, "", path, method)
}

// firstMatch returns the route of a host with the longest path prefix that matches.
// It looks for the whole path, and for each part of it that ends before a slash.
func firstMatch(snapshot *state.Snapshot, host, path, method string) (state.Route, bool) {
	for prefix, more := path, true; more; {
		for route := range snapshot.RoutesWithPrefix(host, prefix+"/") {
			if matchesPath(route.Match.PathPrefix, path) && matchesMethod(route.Match.Methods, method) {
				return route, true
			}
		}
		end := strings.LastIndexByte(prefix, '/')
		prefix, more = prefix[:max(0, end)], end >= 0
	}
	return state.Route{}, false
}

func matchesPath(prefix, path string) bool {
	remaining, ok := strings.CutPrefix(path, prefix)
	return ok && (remaining == "" || remaining[0] == '/' || strings.HasSuffix(prefix, "/"))
}

func matchesMethod(methods []string, method string) bool {
	if len(methods) == 0 || slices.Contains(methods, method) {
		return true
	}
	return method == "HEAD" && slices.Contains(methods, "GET")
}

// PickService returns the destination of a call on a route. If the route is split,
// the service is chosen in proportion to the weights; draw is a random number in
// [0, 1).
func PickService(route state.Route, draw float64) state.ServiceName {
	if len(route.Split) == 0 {
		return route.Service
	}
	total := 0.0
	for _, part := range route.Split {
		total += part.Weight
	}
	remaining := draw * total
	for _, part := range route.Split {
		if remaining < part.Weight {
			return part.Service
		}
		remaining -= part.Weight
	}
	return route.Split[len(route.Split)-1].Service
}
