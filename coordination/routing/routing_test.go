package routing_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/wasabiport/wasabiport/coordination/routing"
	"github.com/wasabiport/wasabiport/state"
)

// matchInOrder returns the first route in order of precedence that matches on its
// own.
func matchInOrder(snapshot *state.Snapshot, host, path, method string) (state.RouteName, bool) {
	for _, candidates := range []string{host, ""} {
		for _, route := range snapshot.RoutesForHost(candidates) {
			builder := state.NewSnapshotBuilder(nil)
			builder.Set(state.Resources{Routes: []state.Route{route}})
			if _, ok := routing.Match(builder.Build(1, 1), host, path, method); ok {
				return route.Name, true
			}
		}
	}
	return "", false
}

func TestMatchFollowsOrderOfPrecedence(t *testing.T) {
	segments := rapid.SliceOfN(rapid.SampledFrom([]string{"", "a", "ab", "b"}), 0, 3)
	pathOf := func(segments []string, end string) string {
		path := ""
		for _, segment := range segments {
			path += "/" + segment
		}
		return path + end
	}
	rapid.Check(t, func(t *rapid.T) {
		builder := state.NewSnapshotBuilder(nil)
		for i := range rapid.IntRange(1, 12).Draw(t, "routes") {
			match := state.Match{
				Host:       rapid.SampledFrom([]string{"", "desk.example"}).Draw(t, "host"),
				PathPrefix: pathOf(segments.Draw(t, "prefix"), rapid.SampledFrom([]string{"", "/"}).Draw(t, "end")),
			}
			if rapid.Bool().Draw(t, "methods") {
				match.Methods = []string{"GET"}
			}
			builder.Set(state.Resources{Routes: []state.Route{{Name: state.RouteName(fmt.Sprint(i)), Match: match}}})
		}
		snapshot := builder.Build(1, 1)
		path := pathOf(segments.Draw(t, "path"), rapid.SampledFrom([]string{"", "/"}).Draw(t, "path end"))
		method := rapid.SampledFrom([]string{"GET", "POST", "HEAD"}).Draw(t, "method")
		want, matches := matchInOrder(snapshot, "desk.example", path, method)
		got, ok := routing.Match(snapshot, "desk.example", path, method)
		require.Equal(t, matches, ok)
		require.Equal(t, want, got.Name)
	})
}

func TestMatchTakesWholeSegments(t *testing.T) {
	tests := []struct {
		prefix, path string
		want         bool
	}{
		{"/permits", "/permits", true},
		{"/permits", "/permits/7", true},
		{"/permits", "/permitsx", false},
		{"/permits/", "/permits", false},
		{"/permits/", "/permits/", true},
		{"/permits/", "/permits/7/8", true},
		{"/", "/", true},
		{"/", "/permits", true},
		{"", "/permits", true},
		{"/a//", "/a//b", true},
		{"/a", "*", false},
	}
	for _, test := range tests {
		builder := state.NewSnapshotBuilder(nil)
		builder.Set(state.Resources{Routes: []state.Route{{Name: "r", Match: state.Match{PathPrefix: test.prefix}}}})
		_, ok := routing.Match(builder.Build(1, 1), "desk.example", test.path, "GET")
		require.Equal(t, test.want, ok, "%q %q", test.prefix, test.path)
	}
}
