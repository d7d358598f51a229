package bench

import (
	"fmt"
	"time"

	"github.com/wasabiport/wasabiport/internal/loopback"
	"github.com/wasabiport/wasabiport/state"
)

// Parameters of the measured fleet. The ratio of services to hosts is that of the
// design size, which has 1,000 hosts with 110 services in 9 availability zones.
const (
	zoneCount       = 9
	hostsPerService = 9
	slotsPerServer  = 6
	connections     = 100
	queueLength     = 64
	routeTimeout    = 5 * time.Second
)

func hostName(index int) state.HostName { return state.HostName(fmt.Sprintf("host-%04d", index)) }

func zoneOf(index int) state.AvailabilityZone {
	return state.AvailabilityZone(fmt.Sprintf("zone-%d", index%zoneCount))
}

func serviceName(index int) state.ServiceName {
	return state.ServiceName(fmt.Sprintf("service-%03d", index))
}

func serviceCount(hosts int) int { return max(1, hosts/hostsPerService) }

// firstTicket defines all routes, services and backend servers of the fleet.
func firstTicket(hosts, services int) state.Ticket {
	ticket := state.Ticket{Number: 1}
	for i := range services {
		ticket.Set.Services = append(ticket.Set.Services, state.Service{
			Name:        serviceName(i),
			QueueLimits: [state.ClassCount]int{queueLength, queueLength, queueLength, queueLength},
		})
		ticket.Set.Routes = append(ticket.Set.Routes, state.Route{
			Name:    state.RouteName(fmt.Sprintf("route-%03d", i)),
			Match:   state.Match{PathPrefix: fmt.Sprintf("/%03d/", i)},
			Service: serviceName(i),
			Class:   state.ClassHigh,
			Timeout: routeTimeout,
		})
	}
	for i := range hosts {
		ticket.Set.BackendServers = append(ticket.Set.BackendServers, backendServer(i, services))
	}
	return ticket
}

func backendServer(host, services int) state.BackendServer {
	return state.BackendServer{
		Name:        state.BackendServerName(fmt.Sprintf("backend-%04d", host)),
		Service:     serviceName(host % services),
		Host:        hostName(host),
		Zone:        zoneOf(host),
		Address:     fmt.Sprintf("%s:8080", loopback.HostIP(host)),
		Slots:       slotsPerServer,
		Connections: connections,
	}
}

// changeTicket changes one backend server.
func changeTicket(number state.TicketNumber, hosts, services int) state.Ticket {
	server := backendServer(int(number)%hosts, services)
	server.Slots = slotsPerServer + int(number)%slotsPerServer
	ticket := state.Ticket{Number: number}
	ticket.Set.BackendServers = []state.BackendServer{server}
	return ticket
}
