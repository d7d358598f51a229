package ticketfile

import (
	"encoding/json"
	"fmt"

	"github.com/wasabiport/wasabiport/state"
)

// MalformedError is returned for a ticket with decoding errors. Such a ticket
// can't be encoded without loss.
type MalformedError struct {
	Number state.TicketNumber
	Errors []state.ValidationError
}

// Error returns the number of the ticket and its first validation error.
func (e *MalformedError) Error() string {
	first := e.Errors[0]
	return fmt.Sprintf("ticket %d is malformed: %s %s", e.Number, first.Path, first.Reason)
}

// Encode returns the ticket as an indented JSON document that decodes to the
// same ticket. It fails if the ticket is malformed, holds values that Decode
// rejects, or is larger than MaxTicketBytes when encoded.
func Encode(ticket state.Ticket) ([]byte, error) {
	if len(ticket.Malformed) > 0 {
		return nil, &MalformedError{Number: ticket.Number, Errors: ticket.Malformed}
	}
	data, err := json.MarshalIndent(newTicketDocument(ticket), "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode ticket %d: %w", ticket.Number, err)
	}
	data = append(data, '\n')
	decoded := DecodeFile(data)
	if len(decoded.Malformed) > 0 {
		return nil, &MalformedError{Number: ticket.Number, Errors: decoded.Malformed}
	}
	return data, nil
}

type ticketDocument struct {
	Number   state.TicketNumber `json:"number"`
	Baseline bool               `json:"baseline,omitempty"`
	Set      resourcesDocument  `json:"set,omitzero"`
	Remove   removalsDocument   `json:"remove,omitzero"`
}

type resourcesDocument struct {
	Services       []serviceDocument       `json:"services,omitempty"`
	BackendServers []backendServerDocument `json:"backend_servers,omitempty"`
	Routes         []routeDocument         `json:"routes,omitempty"`
	Limits         limitsDocument          `json:"limits,omitzero"`
}

type limitsDocument struct {
	MaxHeaderBytes int    `json:"max_header_bytes,omitempty"`
	MaxBodyBytes   int64  `json:"max_body_bytes,omitempty"`
	HeaderTimeout  string `json:"header_timeout,omitempty"`
	IdleTimeout    string `json:"idle_timeout,omitempty"`
}

type removalsDocument struct {
	Routes         []state.RouteName         `json:"routes,omitempty"`
	Services       []state.ServiceName       `json:"services,omitempty"`
	BackendServers []state.BackendServerName `json:"backend_servers,omitempty"`
	Limits         bool                      `json:"limits,omitempty"`
}

type routeDocument struct {
	Name          state.RouteName      `json:"name"`
	Match         matchDocument        `json:"match"`
	Service       *state.ServiceName   `json:"service,omitempty"`
	Split         []splitPartDocument  `json:"split,omitempty"`
	Class         string               `json:"class"`
	LatencyTarget string               `json:"latency_target"`
	Timeout       string               `json:"timeout"`
	Worth         float64              `json:"worth"`
	Idempotent    bool                 `json:"idempotent"`
	MaxAttempts   int                  `json:"max_attempts,omitempty"`
	CallerLimit   *callerLimitDocument `json:"caller_limit,omitempty"`
}

type splitPartDocument struct {
	Service state.ServiceName `json:"service"`
	Weight  float64           `json:"weight"`
}

type matchDocument struct {
	Host       string   `json:"host,omitempty"`
	PathPrefix string   `json:"path_prefix"`
	Methods    []string `json:"methods,omitempty"`
}

type callerLimitDocument struct {
	CallsPerSecond float64 `json:"calls_per_second"`
	Burst          int     `json:"burst"`
}

type serviceDocument struct {
	Name            state.ServiceName  `json:"name"`
	Floors          map[string]float64 `json:"floors"`
	QueueLimits     map[string]int     `json:"queue_limits"`
	SlowStart       string             `json:"slow_start"`
	RecordRetention string             `json:"record_retention"`
	SelfRegistered  bool               `json:"self_registered,omitempty"`
	Connections     int                `json:"connections,omitempty"`
	ColdStart       string             `json:"cold_start,omitempty"`
	ColdPerSecond   float64            `json:"cold_per_second,omitempty"`
	HealthPath      string             `json:"health_path,omitempty"`
}

type backendServerDocument struct {
	Name        state.BackendServerName `json:"name"`
	Service     state.ServiceName       `json:"service"`
	Host        state.HostName          `json:"host"`
	Zone        state.AvailabilityZone  `json:"zone"`
	Address     string                  `json:"address"`
	Slots       int                     `json:"slots"`
	Connections int                     `json:"connections"`
	Draining    bool                    `json:"draining,omitempty"`
}

func newTicketDocument(ticket state.Ticket) ticketDocument {
	document := ticketDocument{
		Number:   ticket.Number,
		Baseline: ticket.Baseline,
		Remove:   removalsDocument(ticket.Remove),
	}
	document.Set.Limits = newLimitsDocument(ticket.Set.Limits)
	for _, service := range ticket.Set.Services {
		document.Set.Services = append(document.Set.Services, newServiceDocument(service))
	}
	for _, server := range ticket.Set.BackendServers {
		document.Set.BackendServers = append(document.Set.BackendServers, newBackendServerDocument(server))
	}
	for _, route := range ticket.Set.Routes {
		document.Set.Routes = append(document.Set.Routes, newRouteDocument(route))
	}
	return document
}

func newLimitsDocument(limits state.RequestLimits) limitsDocument {
	document := limitsDocument{MaxHeaderBytes: limits.MaxHeaderBytes, MaxBodyBytes: limits.MaxBodyBytes}
	if limits.HeaderTimeout > 0 {
		document.HeaderTimeout = limits.HeaderTimeout.String()
	}
	if limits.IdleTimeout > 0 {
		document.IdleTimeout = limits.IdleTimeout.String()
	}
	return document
}

func newRouteDocument(route state.Route) routeDocument {
	document := routeDocument{
		Name:          route.Name,
		Match:         matchDocument(route.Match),
		Class:         route.Class.String(),
		LatencyTarget: route.LatencyTarget.String(),
		Timeout:       route.Timeout.String(),
		Worth:         route.Worth,
		Idempotent:    route.Idempotent,
		MaxAttempts:   route.MaxAttempts,
	}
	if len(route.Split) == 0 {
		document.Service = &route.Service
	}
	for _, part := range route.Split {
		document.Split = append(document.Split, splitPartDocument(part))
	}
	if route.CallerLimit != (state.CallerLimit{}) {
		limit := callerLimitDocument(route.CallerLimit)
		document.CallerLimit = &limit
	}
	return document
}

func newServiceDocument(service state.Service) serviceDocument {
	document := serviceDocument{
		Name:            service.Name,
		Floors:          byClassName(service.Floors),
		QueueLimits:     byClassName(service.QueueLimits),
		SlowStart:       service.SlowStart.String(),
		RecordRetention: service.RecordRetention.String(),
		SelfRegistered:  service.SelfRegistered,
		Connections:     service.Connections,
		ColdPerSecond:   service.ColdPerSecond,
		HealthPath:      service.HealthPath,
	}
	if service.ColdStart > 0 {
		document.ColdStart = service.ColdStart.String()
	}
	return document
}

// newBackendServerDocument omits the fields that are only set for
// self-registered backend servers.
func newBackendServerDocument(server state.BackendServer) backendServerDocument {
	return backendServerDocument{
		Name:        server.Name,
		Service:     server.Service,
		Host:        server.Host,
		Zone:        server.Zone,
		Address:     server.Address,
		Slots:       server.Slots,
		Connections: server.Connections,
		Draining:    server.Draining,
	}
}

func byClassName[T any](values [state.ClassCount]T) map[string]T {
	byName := make(map[string]T, len(values))
	for _, class := range state.Classes() {
		byName[class.String()] = values[class]
	}
	return byName
}
