package state

import (
	"iter"
	"slices"
	"strings"
)

// routeKey is the host, in lower case, and the path prefix of routes, without its
// trailing slash.
type routeKey struct {
	host, prefix string
}

func keyOf(route Route) routeKey {
	return routeKey{host: normalizedHost(route), prefix: withoutSlash(route.Match.PathPrefix)}
}

// RoutesForHost returns the routes whose Match.Host is host, in order of
// precedence: the longest path prefix first and, for equal prefixes, routes with
// methods before routes for all methods. The empty host returns the routes that
// match every host. Its time grows with the number of all routes.
func (s *Snapshot) RoutesForHost(host string) []Route {
	var routes []Route
	for key, withKey := range s.routesByKey {
		if key.host == host {
			routes = append(routes, withKey...)
		}
	}
	slices.SortFunc(routes, compareRoutes)
	return routes
}

// RoutesWithPrefix returns those of the routes for a host that have a path prefix,
// in the same order. A trailing slash makes no difference. Its time does not depend
// on the number of other routes.
func (s *Snapshot) RoutesWithPrefix(host, prefix string) iter.Seq[Route] {
	return slices.Values(s.routesByKey[routeKey{host: host, prefix: withoutSlash(prefix)}])
}

// withoutSlash removes one trailing slash.
func withoutSlash(prefix string) string { return strings.TrimSuffix(prefix, "/") }
