package peerwire

import (
	"github.com/wasabiport/wasabiport/coordination/control"
	"github.com/wasabiport/wasabiport/protocol/wirepb"
	"github.com/wasabiport/wasabiport/state"
)

func encodeTickets(tickets control.Tickets) *wirepb.Tickets {
	message := &wirepb.Tickets{}
	for _, ticket := range tickets.Tickets {
		message.Tickets = append(message.Tickets, encodeTicket(ticket))
	}
	return message
}

func decodeTickets(message *wirepb.Tickets) (control.Message, error) {
	var tickets control.Tickets
	for _, ticket := range message.GetTickets() {
		decoded, err := decodeTicket(ticket)
		if err != nil {
			return nil, err
		}
		tickets.Tickets = append(tickets.Tickets, decoded)
	}
	return tickets, nil
}

func encodeTicket(ticket state.Ticket) *wirepb.Ticket {
	message := &wirepb.Ticket{
		Number:   uint64(ticket.Number),
		Baseline: ticket.Baseline,
		Set:      encodeResources(ticket.Set),
		Remove: &wirepb.Removals{
			Routes:         toStrings(ticket.Remove.Routes),
			Services:       toStrings(ticket.Remove.Services),
			BackendServers: toStrings(ticket.Remove.BackendServers),
		},
	}
	for _, validationError := range ticket.Malformed {
		message.Malformed = append(message.Malformed, &wirepb.Fault{Path: validationError.Path, Reason: validationError.Reason})
	}
	return message
}

func decodeTicket(message *wirepb.Ticket) (state.Ticket, error) {
	set, err := decodeResources(message.GetSet())
	if err != nil {
		return state.Ticket{}, err
	}
	ticket := state.Ticket{
		Number:   state.TicketNumber(message.GetNumber()),
		Baseline: message.GetBaseline(),
		Set:      set,
		Remove: state.Removals{
			Routes:         fromStrings[state.RouteName](message.GetRemove().GetRoutes()),
			Services:       fromStrings[state.ServiceName](message.GetRemove().GetServices()),
			BackendServers: fromStrings[state.BackendServerName](message.GetRemove().GetBackendServers()),
		},
	}
	for _, validationError := range message.GetMalformed() {
		ticket.Malformed = append(ticket.Malformed, state.ValidationError{Path: validationError.GetPath(), Reason: validationError.GetReason()})
	}
	return ticket, nil
}

func toStrings[N ~string](names []N) []string {
	converted := make([]string, 0, len(names))
	for _, name := range names {
		converted = append(converted, string(name))
	}
	return converted
}

func fromStrings[N ~string](names []string) []N {
	var converted []N
	for _, name := range names {
		converted = append(converted, N(name))
	}
	return converted
}
