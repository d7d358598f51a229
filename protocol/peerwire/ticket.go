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
		Remove:   encodeRemovals(ticket.Remove),
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
		Remove:   decodeRemovals(message.GetRemove()),
	}
	for _, validationError := range message.GetMalformed() {
		ticket.Malformed = append(ticket.Malformed, state.ValidationError{Path: validationError.GetPath(), Reason: validationError.GetReason()})
	}
	return ticket, nil
}

func encodeRemovals(remove state.Removals) *wirepb.Removals {
	return &wirepb.Removals{
		Routes:         toStrings(remove.Routes),
		Services:       toStrings(remove.Services),
		BackendServers: toStrings(remove.BackendServers),
		Limits:         remove.Limits,
	}
}

func decodeRemovals(message *wirepb.Removals) state.Removals {
	return state.Removals{
		Routes:         fromStrings[state.RouteName](message.GetRoutes()),
		Services:       fromStrings[state.ServiceName](message.GetServices()),
		BackendServers: fromStrings[state.BackendServerName](message.GetBackendServers()),
		Limits:         message.GetLimits(),
	}
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
