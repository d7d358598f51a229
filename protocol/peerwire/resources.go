package peerwire

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiport/wasabiport/protocol/frame"
	"github.com/wasabiport/wasabiport/protocol/wirepb"
	"github.com/wasabiport/wasabiport/state"
)

func encodeResources(resources state.Resources) *wirepb.Resources {
	message := &wirepb.Resources{Limits: encodeLimits(resources.Limits)}
	for _, route := range resources.Routes {
		message.Routes = append(message.Routes, encodeRoute(route))
	}
	for _, service := range resources.Services {
		message.Services = append(message.Services, encodeService(service))
	}
	message.BackendServers = encodeBackendServers(resources.BackendServers)
	return message
}

func encodeBackendServers(servers []state.BackendServer) []*wirepb.BackendServer {
	var messages []*wirepb.BackendServer
	for _, server := range servers {
		messages = append(messages, encodeBackendServer(server))
	}
	return messages
}

func decodeBackendServers(messages []*wirepb.BackendServer) []state.BackendServer {
	var servers []state.BackendServer
	for _, message := range messages {
		servers = append(servers, decodeBackendServer(message))
	}
	return servers
}

func decodeResources(message *wirepb.Resources) (state.Resources, error) {
	var resources state.Resources
	for _, route := range message.GetRoutes() {
		decoded, err := decodeRoute(route)
		if err != nil {
			return state.Resources{}, err
		}
		resources.Routes = append(resources.Routes, decoded)
	}
	for _, service := range message.GetServices() {
		decoded, err := decodeService(service)
		if err != nil {
			return state.Resources{}, err
		}
		resources.Services = append(resources.Services, decoded)
	}
	resources.BackendServers = decodeBackendServers(message.GetBackendServers())
	resources.Limits = decodeLimits(message.GetLimits())
	return resources, nil
}

func encodeRoute(route state.Route) *wirepb.Route {
	message := &wirepb.Route{
		Name:                 string(route.Name),
		Host:                 route.Match.Host,
		PathPrefix:           route.Match.PathPrefix,
		Methods:              route.Match.Methods,
		Service:              string(route.Service),
		PriorityClass:        uint32(route.Class),
		LatencyTargetNanos:   int64(route.LatencyTarget),
		TimeoutNanos:         int64(route.Timeout),
		Worth:                route.Worth,
		Idempotent:           route.Idempotent,
		CallerCallsPerSecond: route.CallerLimit.CallsPerSecond,
		CallerBurst:          uint32(route.CallerLimit.Burst),
		MaxAttempts:          uint32(route.MaxAttempts),
	}
	for _, part := range route.Split {
		message.Split = append(message.Split, &wirepb.SplitPart{Service: string(part.Service), Weight: part.Weight})
	}
	return message
}

func decodeRoute(message *wirepb.Route) (state.Route, error) {
	if message.GetPriorityClass() >= state.ClassCount {
		return state.Route{}, malformed("route %q has unknown priority class %d", message.GetName(), message.GetPriorityClass())
	}
	route := state.Route{
		Name: state.RouteName(message.GetName()),
		Match: state.Match{
			Host:       message.GetHost(),
			PathPrefix: message.GetPathPrefix(),
			Methods:    message.GetMethods(),
		},
		Service:       state.ServiceName(message.GetService()),
		Class:         state.PriorityClass(message.GetPriorityClass()),
		LatencyTarget: time.Duration(message.GetLatencyTargetNanos()),
		Timeout:       time.Duration(message.GetTimeoutNanos()),
		Worth:         message.GetWorth(),
		Idempotent:    message.GetIdempotent(),
		CallerLimit: state.CallerLimit{
			CallsPerSecond: message.GetCallerCallsPerSecond(),
			Burst:          int(message.GetCallerBurst()),
		},
		MaxAttempts: int(message.GetMaxAttempts()),
	}
	for _, part := range message.GetSplit() {
		route.Split = append(route.Split, state.SplitPart{
			Service: state.ServiceName(part.GetService()),
			Weight:  part.GetWeight(),
		})
	}
	return route, nil
}

func encodeService(service state.Service) *wirepb.Service {
	message := &wirepb.Service{
		Name:                 string(service.Name),
		Floors:               service.Floors[:],
		SlowStartNanos:       int64(service.SlowStart),
		RecordRetentionNanos: int64(service.RecordRetention),
		SelfRegistered:       service.SelfRegistered,
		Connections:          uint32(service.Connections),
		ColdStartNanos:       int64(service.ColdStart),
		ColdPerSecond:        service.ColdPerSecond,
		HealthPath:           service.HealthPath,
	}
	for _, limit := range service.QueueLimits {
		message.QueueLimits = append(message.QueueLimits, uint32(limit))
	}
	return message
}

func decodeService(message *wirepb.Service) (state.Service, error) {
	service := state.Service{
		Name:            state.ServiceName(message.GetName()),
		SlowStart:       time.Duration(message.GetSlowStartNanos()),
		RecordRetention: time.Duration(message.GetRecordRetentionNanos()),
		SelfRegistered:  message.GetSelfRegistered(),
		Connections:     int(message.GetConnections()),
		ColdStart:       time.Duration(message.GetColdStartNanos()),
		ColdPerSecond:   message.GetColdPerSecond(),
		HealthPath:      message.GetHealthPath(),
	}
	if len(message.GetFloors()) != state.ClassCount || len(message.GetQueueLimits()) != state.ClassCount {
		return state.Service{}, malformed("service %q does not have a floor and a queue limit for each priority class", message.GetName())
	}
	copy(service.Floors[:], message.GetFloors())
	for class, limit := range message.GetQueueLimits() {
		service.QueueLimits[class] = int(limit)
	}
	return service, nil
}

func encodeBackendServer(server state.BackendServer) *wirepb.BackendServer {
	return &wirepb.BackendServer{
		Name:        string(server.Name),
		Service:     string(server.Service),
		Host:        string(server.Host),
		Zone:        string(server.Zone),
		Address:     server.Address,
		Slots:       uint32(server.Slots),
		Connections: uint32(server.Connections),
		Draining:    server.Draining,
		Incarnation: server.Incarnation,

		WarmAtUnixMillis: server.WarmAt,
	}
}

func decodeBackendServer(message *wirepb.BackendServer) state.BackendServer {
	return state.BackendServer{
		Name:        state.BackendServerName(message.GetName()),
		Service:     state.ServiceName(message.GetService()),
		Host:        state.HostName(message.GetHost()),
		Zone:        state.AvailabilityZone(message.GetZone()),
		Address:     message.GetAddress(),
		Slots:       int(message.GetSlots()),
		Connections: int(message.GetConnections()),
		Draining:    message.GetDraining(),
		Incarnation: message.GetIncarnation(),
		WarmAt:      message.GetWarmAtUnixMillis(),
	}
}

func malformed(format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), frame.ErrMalformed)
}
