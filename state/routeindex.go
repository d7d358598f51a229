package state

import (
	"iter"
	"slices"
	"strings"
)

// hostRoutes holds the routes of one host. It is immutable.
type hostRoutes struct {
	// ordered holds the routes in order of precedence.
	ordered []Route
	// byPrefix holds the positions in ordered of the routes with a path prefix,
	// without its trailing slash.
	byPrefix map[string][]int
}

// newHostRoutes sorts and indexes routes, which it keeps.
func newHostRoutes(routes []Route) *hostRoutes {
	slices.SortFunc(routes, compareRoutes)
	indexed := &hostRoutes{ordered: routes, byPrefix: make(map[string][]int, len(routes))}
	for i, route := range routes {
		prefix := withoutSlash(route.Match.PathPrefix)
		indexed.byPrefix[prefix] = append(indexed.byPrefix[prefix], i)
	}
	return indexed
}

// RoutesForHost returns the routes whose Match.Host is host, in order of
// precedence: the longest path prefix first and, for equal prefixes, routes with
// methods before routes for all methods. The empty host returns the routes that
// match every host. The caller must not modify the slice.
func (s *Snapshot) RoutesForHost(host string) []Route {
	if routes := s.routesByHost[host]; routes != nil {
		return routes.ordered
	}
	return nil
}

// RoutesWithPrefix returns those of the routes for a host that have a path prefix,
// in the same order. A trailing slash makes no difference. Its time does not depend
// on the number of other routes.
func (s *Snapshot) RoutesWithPrefix(host, prefix string) iter.Seq[Route] {
	return func(yield func(Route) bool) {
		routes := s.routesByHost[host]
		if routes == nil {
			return
		}
		for _, i := range routes.byPrefix[withoutSlash(prefix)] {
			if !yield(routes.ordered[i]) {
				return
			}
		}
	}
}

// withoutSlash removes one trailing slash.
func withoutSlash(prefix string) string { return strings.TrimSuffix(prefix, "/") }
