package state

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a field of Route that equal does not compare: nodes would then
// keep the old value of the field.
func TestRouteEqualComparesEveryField(t *testing.T) {
	requireEveryFieldCompared(t, reflect.TypeFor[Route](), nil)
}

func requireEveryFieldCompared(t *testing.T, kind reflect.Type, path []int) {
	for i := range kind.NumField() {
		field := kind.Field(i)
		at := append(append([]int(nil), path...), i)
		if field.Type.Kind() == reflect.Struct {
			requireEveryFieldCompared(t, field.Type, at)
			continue
		}
		var changed Route
		value := reflect.ValueOf(&changed).Elem().FieldByIndex(at)
		switch value.Kind() {
		case reflect.String:
			value.SetString("x")
		case reflect.Bool:
			value.SetBool(true)
		case reflect.Float64:
			value.SetFloat(1)
		case reflect.Slice:
			value.Set(reflect.MakeSlice(value.Type(), 1, 1))
		case reflect.Uint8:
			value.SetUint(1)
		default:
			value.SetInt(1)
		}
		require.False(t, Route{}.equal(changed), "field %s", field.Name)
	}
}

// drawSnapshot returns a snapshot of few resources, so that versions share some.
func drawSnapshot(t *rapid.T, number TicketNumber) *Snapshot {
	var resources Resources
	for i := range 4 {
		name := fmt.Sprintf("r%d", i)
		if timeout := rapid.IntRange(0, 2).Draw(t, name); timeout > 0 {
			route := Route{Name: RouteName(name), Match: Match{Host: "h", PathPrefix: "/" + name}, Timeout: time.Duration(timeout)}
			resources.Routes = append(resources.Routes, route)
		}
		if connections := rapid.IntRange(0, 2).Draw(t, "s"+name); connections > 0 {
			resources.Services = append(resources.Services, Service{Name: ServiceName(name), Connections: connections})
			resources.BackendServers = append(resources.BackendServers, BackendServer{Name: BackendServerName(name), Slots: connections})
		}
	}
	builder := NewSnapshotBuilder(nil)
	builder.Set(resources)
	return builder.Build(number, number)
}

func TestDiffsLeadFromOneSnapshotToTheOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second, third := drawSnapshot(t, 1), drawSnapshot(t, 2), drawSnapshot(t, 3)
		require.Equal(t, second.Version(), first.Apply(Diff(first, second)).Version())
		merged := MergeDiffs([]SnapshotDiff{Diff(first, second), Diff(second, third)})
		result := first.Apply(merged)
		require.Equal(t, third.Version(), result.Version())
		require.Equal(t, third.Resources(), result.Resources())
		require.Equal(t, third.RoutesForHost("h"), result.RoutesForHost("h"))
		require.Equal(t, TicketNumber(1), merged.Base)
	})
}

// A digest differs exactly if the result does.
func TestDiffFromAnOlderSnapshotIsRecognizedByItsDigest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second, third := drawSnapshot(t, 1), drawSnapshot(t, 2), drawSnapshot(t, 3)
		result := second.Apply(Diff(first, third))
		same := reflect.DeepEqual(third.Resources(), result.Resources())
		require.Equal(t, same, result.Digest() == third.Digest())
	})
}
