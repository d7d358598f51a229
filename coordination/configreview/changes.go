package configreview

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/wasabiport/wasabiport/state"
)

// Action is what a ticket does with a resource.
type Action string

// The actions.
const (
	ActionAdd    Action = "add"
	ActionChange Action = "change"
	ActionRemove Action = "remove"
)

// Change is the difference of one resource between two configurations.
type Change struct {
	Action Action
	// Resource is "route", "service" or "backend_server".
	Resource string
	Name     string
	// Fields holds the fields that differ. It is empty unless Action is ActionChange.
	Fields []FieldChange
}

// FieldChange is the difference of one field, as text.
type FieldChange struct {
	Field, Before, After string
}

// field is a field of a resource, as text.
type field struct{ name, value string }

// resourceKey identifies a resource of any type.
type resourceKey struct{ resource, name string }

func compareKeys(a, b resourceKey) int {
	return cmp.Or(cmp.Compare(a.resource, b.resource), cmp.Compare(a.name, b.name))
}

// compare returns the differences between two configurations.
func compare(before, after state.Resources) []Change {
	oldResources, newResources := fieldsByResource(before), fieldsByResource(after)
	all := maps.Clone(oldResources)
	maps.Copy(all, newResources)
	var changes []Change
	for _, key := range slices.SortedFunc(maps.Keys(all), compareKeys) {
		change := Change{Resource: key.resource, Name: key.name}
		oldFields, existed := oldResources[key]
		newFields, exists := newResources[key]
		switch {
		case !existed:
			change.Action = ActionAdd
		case !exists:
			change.Action = ActionRemove
		default:
			change.Action = ActionChange
			change.Fields = compareFields(oldFields, newFields)
		}
		if change.Action != ActionChange || len(change.Fields) > 0 {
			changes = append(changes, change)
		}
	}
	return changes
}

// compareFields returns the fields that differ between two resources of one type.
func compareFields(before, after []field) []FieldChange {
	var changes []FieldChange
	for i := range before {
		if before[i] != after[i] {
			changes = append(changes, FieldChange{Field: before[i].name, Before: before[i].value, After: after[i].value})
		}
	}
	return changes
}

func fieldsByResource(resources state.Resources) map[resourceKey][]field {
	fields := make(map[resourceKey][]field)
	for _, route := range resources.Routes {
		fields[resourceKey{"route", string(route.Name)}] = routeFields(route)
	}
	for _, service := range resources.Services {
		fields[resourceKey{"service", string(service.Name)}] = serviceFields(service)
	}
	for _, server := range resources.BackendServers {
		fields[resourceKey{"backend_server", string(server.Name)}] = backendServerFields(server)
	}
	return fields
}

func routeFields(route state.Route) []field {
	return []field{
		{"match.host", route.Match.Host},
		{"match.path_prefix", route.Match.PathPrefix},
		{"match.methods", fmt.Sprint(route.Match.Methods)},
		{"service", string(route.Service)},
		{"split", fmt.Sprint(route.Split)},
		{"class", route.Class.String()},
		{"latency_target", route.LatencyTarget.String()},
		{"timeout", route.Timeout.String()},
		{"worth", fmt.Sprint(route.Worth)},
		{"idempotent", fmt.Sprint(route.Idempotent)},
		{"max_attempts", fmt.Sprint(route.MaxAttempts)},
		{"caller_limit.calls_per_second", fmt.Sprint(route.CallerLimit.CallsPerSecond)},
		{"caller_limit.burst", fmt.Sprint(route.CallerLimit.Burst)},
	}
}

func serviceFields(service state.Service) []field {
	fields := []field{
		{"slow_start", service.SlowStart.String()},
		{"record_retention", service.RecordRetention.String()},
		{"self_registered", fmt.Sprint(service.SelfRegistered)},
		{"connections", fmt.Sprint(service.Connections)},
		{"cold_start", service.ColdStart.String()},
		{"cold_per_second", fmt.Sprint(service.ColdPerSecond)},
		{"health_path", service.HealthPath},
	}
	for _, class := range state.Classes() {
		fields = append(fields,
			field{"floors." + class.String(), fmt.Sprint(service.Floors[class])},
			field{"queue_limits." + class.String(), fmt.Sprint(service.QueueLimits[class])})
	}
	return fields
}

func backendServerFields(server state.BackendServer) []field {
	return []field{
		{"service", string(server.Service)},
		{"host", string(server.Host)},
		{"zone", string(server.Zone)},
		{"address", server.Address},
		{"slots", fmt.Sprint(server.Slots)},
		{"connections", fmt.Sprint(server.Connections)},
		{"draining", fmt.Sprint(server.Draining)},
	}
}
