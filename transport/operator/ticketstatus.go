package operator

import (
	"net/http"
	"strconv"
	"time"

	"github.com/wasabiport/wasabiport/coordination/fleetstatus"
	"github.com/wasabiport/wasabiport/state"
)

// Default and maximum length of a list of tickets.
const (
	defaultTicketCount = 10
	maxTicketCount     = 100
)

// Fleet provides the status of tickets across the fleet.
type Fleet interface {
	// TicketStatus returns the status of a ticket in the fleet, according to
	// the reports that the node has received.
	TicketStatus(number state.TicketNumber) fleetstatus.TicketStatus
}

// TicketStatus is the response body of /v1/tickets/N.
type TicketStatus struct {
	Number state.TicketNumber `json:"number"`
	// Verdict is accepted, rejected or unknown.
	Verdict string            `json:"verdict"`
	Errors  []ValidationError `json:"faults,omitempty"`
	Zones   []ZoneStatus      `json:"zones"`
	// UnseenZones lists the availability zones without a recent report.
	UnseenZones []state.AvailabilityZone `json:"unseen_zones,omitempty"`
}

// ValidationError is one reason why a ticket was rejected.
type ValidationError struct {
	Path   string `json:"path"`
	Reason string `json:"reason"`
}

// ZoneStatus counts the hosts of an availability zone by their status for a
// ticket.
type ZoneStatus struct {
	Zone       state.AvailabilityZone `json:"zone"`
	Hosts      int                    `json:"hosts"`
	InForce    int                    `json:"in_force"`
	Rejected   int                    `json:"rejected"`
	Evaluated  int                    `json:"judged"`
	Behind     int                    `json:"behind"`
	Unreported int                    `json:"not_heard"`
	Diverged   int                    `json:"diverged"`
	// OldestReport is the age of the oldest report in the counts, such as
	// "1.2s".
	OldestReport string `json:"oldest_report"`
}

// TicketList is the response body of /v1/tickets.
type TicketList struct {
	// Tickets holds the latest tickets, newest first.
	Tickets []TicketStatus `json:"tickets"`
}

func serveTicket(w http.ResponseWriter, r *http.Request, fleet Fleet) {
	number, err := strconv.ParseUint(r.PathValue("number"), 10, 64)
	if err != nil || number == 0 {
		http.Error(w, "ticket numbers are whole numbers from 1", http.StatusBadRequest)
		return
	}
	writeJSON(w, newTicketStatus(fleet.TicketStatus(state.TicketNumber(number))))
}

func serveTickets(w http.ResponseWriter, r *http.Request, latest state.TicketNumber, fleet Fleet) {
	count := defaultTicketCount
	if text := r.URL.Query().Get("count"); text != "" {
		given, err := strconv.Atoi(text)
		if err != nil || given < 1 || given > maxTicketCount {
			http.Error(w, "count is a whole number from 1 to 100", http.StatusBadRequest)
			return
		}
		count = given
	}
	list := TicketList{Tickets: []TicketStatus{}}
	for number := latest; number > 0 && len(list.Tickets) < count; number-- {
		list.Tickets = append(list.Tickets, newTicketStatus(fleet.TicketStatus(number)))
	}
	writeJSON(w, list)
}

func newTicketStatus(status fleetstatus.TicketStatus) TicketStatus {
	response := TicketStatus{
		Number:      status.Number,
		Verdict:     status.Outcome.String(),
		Zones:       []ZoneStatus{},
		UnseenZones: status.UnseenZones,
	}
	for _, validationError := range status.Errors {
		response.Errors = append(response.Errors, ValidationError(validationError))
	}
	for _, zone := range status.Zones {
		response.Zones = append(response.Zones, ZoneStatus{
			Zone:         zone.Zone,
			Hosts:        zone.Hosts,
			InForce:      zone.InForce,
			Rejected:     zone.Rejected,
			Evaluated:    zone.Evaluated,
			Behind:       zone.Behind,
			Unreported:   zone.Unreported,
			Diverged:     zone.Diverged,
			OldestReport: zone.Age.Round(time.Millisecond).String(),
		})
	}
	return response
}
