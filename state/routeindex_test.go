package state

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRoutesWithPrefixIgnoresTrailingSlash(t *testing.T) {
	builder := NewSnapshotBuilder(nil)
	builder.Set(Resources{Routes: []Route{
		{Name: "all", Match: Match{Host: "Desk.example", PathPrefix: "/a"}},
		{Name: "slash", Match: Match{Host: "desk.example", PathPrefix: "/a/"}},
		{Name: "get", Match: Match{Host: "desk.example", PathPrefix: "/a", Methods: []string{"GET"}}},
		{Name: "other", Match: Match{Host: "desk.example", PathPrefix: "/ab"}},
	}})
	snapshot := builder.Build(1, 1)
	namesOf := func(host, prefix string) []RouteName {
		var names []RouteName
		for route := range snapshot.RoutesWithPrefix(host, prefix) {
			names = append(names, route.Name)
		}
		return names
	}
	require.Equal(t, []RouteName{"slash", "get", "all"}, namesOf("desk.example", "/a"))
	require.Equal(t, []RouteName{"slash", "get", "all"}, namesOf("desk.example", "/a/"))
	require.Empty(t, namesOf("desk.example", "/"))
	require.Empty(t, namesOf("other.example", "/a"))
}

// Guards against a check or a call whose time grows with all routes of a host.
func TestRoutesWithPrefixVisitsNoOtherRoutes(t *testing.T) {
	const routes = 1000
	var set []Route
	for i := range routes {
		set = append(set, Route{Name: RouteName(fmt.Sprint(i)), Match: Match{Host: "desk.example", PathPrefix: fmt.Sprintf("/%d/", i)}})
	}
	builder := NewSnapshotBuilder(nil)
	builder.Set(Resources{Routes: set})
	snapshot := builder.Build(1, 1)
	for _, route := range set {
		require.Len(t, slices.Collect(snapshot.RoutesWithPrefix(route.Match.Host, route.Match.PathPrefix)), 1)
	}
}

// Guards against a change of one route that costs as much as all routes of its host.
func TestChangeOfRouteIndexesOnlyThatRoute(t *testing.T) {
	builder := NewSnapshotBuilder(nil)
	for i := range 100 {
		builder.Set(Resources{Routes: []Route{{
			Name:  RouteName(fmt.Sprintf("r-%d", i)),
			Match: Match{Host: "desk.example", PathPrefix: fmt.Sprintf("/%d/", i)},
		}}})
	}
	before := builder.Build(1, 1)
	changed := before.routes["r-7"]
	changed.Match.PathPrefix = "/moved/"
	after := before.Apply(SnapshotDiff{Version: Version{Evaluated: 2, Accepted: 2}, Set: Resources{Routes: []Route{changed}}})
	rebuilt := 0
	for key, routes := range after.routesByKey {
		if len(before.routesByKey[key]) == 0 || &before.routesByKey[key][0] != &routes[0] {
			rebuilt++
		}
	}
	require.Equal(t, 1, rebuilt)
	require.Empty(t, slices.Collect(after.RoutesWithPrefix("desk.example", "/7/")))
	require.Len(t, slices.Collect(before.RoutesWithPrefix("desk.example", "/7/")), 1)
}
