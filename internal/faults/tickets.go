package faults

import (
	"fmt"
	"time"

	"github.com/wasabiport/wasabiport/state"
)

const deskService state.ServiceName = "desk"

// markerConnections is added to the ticket number to get the Connections value
// that marks the backend servers set by a ticket.
const markerConnections = 100

// newTicket returns a ticket that sets every route, service and backend server
// and marks each of them with the ticket number, so that a partly applied
// ticket can be detected.
func newTicket(number state.TicketNumber, hosts int, draining map[int]bool) state.Ticket {
	ticket := state.Ticket{Number: number}
	ticket.Set.Services = []state.Service{{
		Name:            deskService,
		Floors:          [state.ClassCount]float64{0.25, 0.25, 0.25, 0.25},
		QueueLimits:     [state.ClassCount]int{16, 16, 16, 16},
		RecordRetention: time.Duration(number) * time.Hour,
	}}
	for _, kind := range CallKinds() {
		ticket.Set.Routes = append(ticket.Set.Routes, state.Route{
			Name:          state.RouteName(kind.Name),
			Match:         state.Match{PathPrefix: kind.Path},
			Service:       deskService,
			Class:         kind.Class,
			LatencyTarget: time.Second,
			Timeout:       callTimeout,
			Worth:         float64(number),
			Idempotent:    kind.Idempotent,
		})
	}
	for i := range hosts {
		host := hostOf(i)
		ticket.Set.BackendServers = append(ticket.Set.BackendServers, state.BackendServer{
			Name:        state.BackendServerName(fmt.Sprintf("desk-%d", i)),
			Service:     deskService,
			Host:        host.Name,
			Zone:        host.Zone,
			Address:     backendAddress(i),
			Slots:       slotsPerBackend,
			Connections: markerConnections + int(number),
			Draining:    draining[i],
		})
	}
	return ticket
}

// newInvalidTicket returns a ticket with the same marks and a route to a service
// that does not exist.
func newInvalidTicket(number state.TicketNumber, hosts int) state.Ticket {
	ticket := newTicket(number, hosts, nil)
	ticket.Set.Routes[0].Service = "missing"
	return ticket
}

// markersOf returns the ticket numbers with which the resources are marked.
func markersOf(ticket state.Ticket) []state.TicketNumber {
	var markers []state.TicketNumber
	for _, route := range ticket.Set.Routes {
		markers = append(markers, state.TicketNumber(route.Worth))
	}
	for _, service := range ticket.Set.Services {
		markers = append(markers, state.TicketNumber(service.RecordRetention/time.Hour))
	}
	for _, server := range ticket.Set.BackendServers {
		markers = append(markers, state.TicketNumber(server.Connections-markerConnections))
	}
	return markers
}
