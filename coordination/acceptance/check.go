package acceptance

import (
	"fmt"

	"github.com/wasabiport/wasabiport/state"
)

// CheckTicket returns the faults that can be seen in the ticket alone.
func CheckTicket(ticket state.Ticket) []state.Fault {
	faults := append([]state.Fault(nil), ticket.Malformed...)
	if ticket.Number == 0 {
		faults = append(faults, state.Fault{Path: "number", Reason: "ticket numbers start at 1"})
	}
	return faults
}

// checkReferences returns the references of a configuration that do not
// resolve.
func checkReferences(after *state.Snapshot) []state.Fault {
	var faults []state.Fault
	resources := after.Resources()
	for _, route := range resources.Routes {
		faults = append(faults, checkRoute(after, route)...)
	}
	for _, server := range resources.BackendServers {
		if _, ok := after.Service(server.Service); !ok {
			faults = append(faults, state.Fault{
				Path:   fmt.Sprintf("backend_servers[%s].service", server.Name),
				Reason: fmt.Sprintf("backend server %q names service %q, which does not exist", server.Name, server.Service),
			})
		}
	}
	return faults
}

func checkRoute(after *state.Snapshot, route state.Route) []state.Fault {
	path := fmt.Sprintf("routes[%s].service", route.Name)
	if _, ok := after.Service(route.Service); !ok {
		return []state.Fault{{
			Path:   path,
			Reason: fmt.Sprintf("route %q names service %q, which does not exist", route.Name, route.Service),
		}}
	}
	if len(after.BackendServersOf(route.Service)) == 0 {
		return []state.Fault{{
			Path:   path,
			Reason: fmt.Sprintf("route %q names service %q, which has no backend servers", route.Name, route.Service),
		}}
	}
	return nil
}
