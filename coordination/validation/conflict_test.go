package validation

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/state"
)

// Guards against an evaluation whose time grows faster than the number of routes,
// because it compares all routes of a host with each other.
func TestConflictCheckComparesOnlyRoutesWithTheSamePrefix(t *testing.T) {
	const routes = 1000
	var set []state.Route
	for i := range routes {
		set = append(set, state.Route{
			Name:  state.RouteName(fmt.Sprintf("route-%d", i)),
			Match: state.Match{Host: "desk.example", PathPrefix: fmt.Sprintf("/route-%d/", i)},
		})
	}
	builder := state.NewSnapshotBuilder(nil)
	builder.Set(state.Resources{Routes: set})
	index := newMatchIndex(builder.Build(1, 1))
	compared := 0
	for _, route := range set {
		compared += len(index.routesLike(route.Match))
	}
	require.Equal(t, routes, compared)
}
