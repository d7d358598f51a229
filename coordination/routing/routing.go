// Package routing finds the route that serves a request.
package routing

import (
	"slices"
	"strings"

	"github.com/wasabiport/wasabiport/state"
)

// Match returns the route for a request: the one that names the host before
// one that matches every host, then the one with the longest path prefix.
// The host is lower case and without port.
func Match(snapshot *state.Snapshot, host, path, method string) (state.Route, bool) {
	if route, ok := matchAmong(snapshot.RoutesForHost(host), path, method); ok {
		return route, true
	}
	return matchAmong(snapshot.RoutesForHost(""), path, method)
}

func matchAmong(routes []state.Route, path, method string) (state.Route, bool) {
	for _, route := range routes {
		if matchesPath(route.Match.PathPrefix, path) && matchesMethod(route.Match.Methods, method) {
			return route, true
		}
	}
	return state.Route{}, false
}

func matchesPath(prefix, path string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/"))
}

func matchesMethod(methods []string, method string) bool {
	if len(methods) == 0 || slices.Contains(methods, method) {
		return true
	}
	return method == "HEAD" && slices.Contains(methods, "GET")
}

// PickService returns the service that a call on a route goes to. Draw is a random
// number from 0 up to but without 1.
func PickService(route state.Route, draw float64) state.ServiceName {
	if len(route.Split) == 0 {
		return route.Service
	}
	total := 0.0
	for _, part := range route.Split {
		total += part.Weight
	}
	rest := draw * total
	for _, part := range route.Split {
		if rest < part.Weight {
			return part.Service
		}
		rest -= part.Weight
	}
	return route.Split[len(route.Split)-1].Service
}
