package ticketfile

import (
	"math"

	"github.com/wasabiport/wasabiport/state"
)

// Defaults of optional fields.
const (
	defaultPathPrefix = "/"
	defaultWorth      = 1.0
)

// decodeTicket decodes the document into ticket, except for the number, which
// it returns.
func decodeTicket(r *reader, ticket *state.Ticket) state.TicketNumber {
	var number uint64
	r.object(
		"",
		field{"number", true, func(path string) { number = r.integer(path, math.MaxInt64) }},
		field{"baseline", false, func(path string) { ticket.Baseline = r.boolean(path) }},
		field{"set", false, func(path string) { ticket.Set = decodeResources(r, path) }},
		field{"remove", false, func(path string) { ticket.Remove = decodeRemovals(r, path) }},
	)
	return state.TicketNumber(number)
}

func decodeResources(r *reader, path string) state.Resources {
	var set state.Resources
	r.object(
		path,
		field{"routes", false, func(path string) {
			set.Routes = decodeArray(r, path, func(path string) state.Route { return decodeRoute(r, path) })
		}},
		field{"services", false, func(path string) {
			set.Services = decodeArray(r, path, func(path string) state.Service { return decodeService(r, path) })
		}},
		field{"backend_servers", false, func(path string) {
			set.BackendServers = decodeArray(r, path, func(path string) state.BackendServer { return decodeBackendServer(r, path) })
		}},
		field{"limits", false, func(path string) { set.Limits = decodeLimits(r, path) }},
	)
	return set
}

func decodeRemovals(r *reader, path string) state.Removals {
	var remove state.Removals
	r.object(
		path,
		field{"routes", false, func(path string) { remove.Routes = decodeStrings[state.RouteName](r, path) }},
		field{"services", false, func(path string) { remove.Services = decodeStrings[state.ServiceName](r, path) }},
		field{"backend_servers", false, func(path string) {
			remove.BackendServers = decodeStrings[state.BackendServerName](r, path)
		}},
		field{"limits", false, func(path string) { remove.Limits = r.boolean(path) }},
	)
	return remove
}

func decodeLimits(r *reader, path string) state.RequestLimits {
	var limits state.RequestLimits
	r.object(
		path,
		field{"max_header_bytes", false, func(path string) { limits.MaxHeaderBytes = r.count(path) }},
		field{"max_body_bytes", false, func(path string) { limits.MaxBodyBytes = int64(r.integer(path, math.MaxInt64)) }},
		field{"header_timeout", false, func(path string) { limits.HeaderTimeout = r.duration(path) }},
		field{"idle_timeout", false, func(path string) { limits.IdleTimeout = r.duration(path) }},
	)
	return limits
}

func decodeStrings[T ~string](r *reader, path string) []T {
	return decodeArray(r, path, func(path string) T { return decodeString[T](r, path) })
}

func decodeRoute(r *reader, path string) state.Route {
	route := state.Route{Match: state.Match{PathPrefix: defaultPathPrefix}, Worth: defaultWorth}
	r.objectWith(
		path,
		map[string]string{"service": "split"},
		field{"name", true, func(path string) { route.Name = decodeString[state.RouteName](r, path) }},
		field{"match", false, func(path string) { decodeMatch(r, path, &route.Match) }},
		field{"service", true, func(path string) { route.Service = decodeString[state.ServiceName](r, path) }},
		field{"split", false, func(path string) {
			route.Split = decodeArray(r, path, func(path string) state.SplitPart { return decodeSplitPart(r, path) })
		}},
		field{"class", true, func(path string) { route.Class = r.class(path) }},
		field{"latency_target", true, func(path string) { route.LatencyTarget = r.duration(path) }},
		field{"timeout", true, func(path string) { route.Timeout = r.duration(path) }},
		field{"worth", false, func(path string) { route.Worth = r.number(path) }},
		field{"idempotent", true, func(path string) { route.Idempotent = r.boolean(path) }},
		field{"max_attempts", false, func(path string) { route.MaxAttempts = r.count(path) }},
		field{"caller_limit", false, func(path string) { route.CallerLimit = decodeCallerLimit(r, path) }},
	)
	return route
}

func decodeSplitPart(r *reader, path string) state.SplitPart {
	var part state.SplitPart
	r.object(
		path,
		field{"service", true, func(path string) { part.Service = decodeString[state.ServiceName](r, path) }},
		field{"weight", true, func(path string) { part.Weight = r.number(path) }},
	)
	return part
}

func decodeMatch(r *reader, path string, match *state.Match) {
	r.object(
		path,
		field{"host", false, func(path string) { match.Host = decodeString[string](r, path) }},
		field{"path_prefix", false, func(path string) { match.PathPrefix = decodeString[string](r, path) }},
		field{"methods", false, func(path string) { match.Methods = decodeStrings[string](r, path) }},
	)
}

func decodeCallerLimit(r *reader, path string) state.CallerLimit {
	var limit state.CallerLimit
	r.object(
		path,
		field{"calls_per_second", true, func(path string) { limit.CallsPerSecond = r.number(path) }},
		field{"burst", true, func(path string) { limit.Burst = r.count(path) }},
	)
	return limit
}

func decodeService(r *reader, path string) state.Service {
	service := state.DefaultService("")
	r.object(
		path,
		field{"name", true, func(path string) { service.Name = decodeString[state.ServiceName](r, path) }},
		field{"floors", false, func(path string) { decodePerClass(r, path, &service.Floors, r.number) }},
		field{"queue_limits", false, func(path string) { decodePerClass(r, path, &service.QueueLimits, r.count) }},
		field{"slow_start", false, func(path string) { service.SlowStart = r.duration(path) }},
		field{"record_retention", false, func(path string) { service.RecordRetention = r.duration(path) }},
		field{"self_registered", false, func(path string) { service.SelfRegistered = r.boolean(path) }},
		field{"connections", false, func(path string) { service.Connections = r.count(path) }},
		field{"cold_start", false, func(path string) { service.ColdStart = r.duration(path) }},
		field{"cold_per_second", false, func(path string) { service.ColdPerSecond = r.number(path) }},
		field{"health_path", false, func(path string) { service.HealthPath = decodeString[string](r, path) }},
	)
	return service
}

// decodePerClass decodes an object that is keyed by priority class. Classes
// that are absent keep their values.
func decodePerClass[T any](r *reader, path string, values *[state.ClassCount]T, decode func(path string) T) {
	var fields []field
	for _, class := range state.Classes() {
		fields = append(fields, field{class.String(), false, func(path string) { values[class] = decode(path) }})
	}
	r.object(path, fields...)
}

func decodeBackendServer(r *reader, path string) state.BackendServer {
	var server state.BackendServer
	r.object(
		path,
		field{"name", true, func(path string) { server.Name = decodeString[state.BackendServerName](r, path) }},
		field{"service", true, func(path string) { server.Service = decodeString[state.ServiceName](r, path) }},
		field{"host", true, func(path string) { server.Host = decodeString[state.HostName](r, path) }},
		field{"zone", true, func(path string) { server.Zone = decodeString[state.AvailabilityZone](r, path) }},
		field{"address", true, func(path string) { server.Address = decodeString[string](r, path) }},
		field{"slots", true, func(path string) { server.Slots = r.count(path) }},
		field{"connections", true, func(path string) { server.Connections = r.count(path) }},
		field{"draining", false, func(path string) { server.Draining = r.boolean(path) }},
	)
	return server
}
