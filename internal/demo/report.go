package demo

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/wasabiport/wasabiport/coordination/fleetstatus"
	"github.com/wasabiport/wasabiport/state"
)

// report prints the status of each ticket, the call statistics of each class and
// the results of the checked guarantees.
func (s *scenario) report() error {
	_, _ = fmt.Fprintf(s.out, "\n%s\n\n", s.fleet.deployment.Name)
	if err := s.reportTickets(); err != nil {
		return err
	}
	if err := s.reportClasses(); err != nil {
		return err
	}
	return s.guarantees.print(s.out)
}

// reportTickets prints the status of each ticket as reported by one node.
func (s *scenario) reportTickets() error {
	node := s.fleet.runningNodes()[0]
	table := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "TICKET\tVERDICT\tSTANDS")
	for number := range s.fleet.platform.TicketCount() {
		status := node.TicketStatus(state.TicketNumber(number + 1))
		_, _ = fmt.Fprintf(table, "%d\t%s\t%s\n", status.Number, status.Outcome, zoneSummary(status))
		for _, validationError := range status.Errors {
			_, _ = fmt.Fprintf(table, "\t\t%s: %s\n", validationError.Path, validationError.Reason)
		}
	}
	_, _ = fmt.Fprintln(table)
	return table.Flush()
}

// zoneSummary returns on how many hosts of each availability zone a ticket is in
// force or rejected.
func zoneSummary(status fleetstatus.TicketStatus) string {
	var zones []string
	for _, zone := range status.Zones {
		zones = append(zones, fmt.Sprintf("%s %d of %d", zone.Zone, zone.InForce+zone.Rejected, zone.Hosts))
	}
	return strings.Join(zones, ", ")
}

func (s *scenario) reportClasses() error {
	table := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "PHASE\tCLASS\tCALLS\tDONE\tIN TARGET\tNOT RUN\tMAY HAVE RUN\tCUT\tP50\tP99")
	for _, phase := range s.phases {
		for _, class := range state.Classes() {
			c := phase.stats.countsOf(class)
			_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\n",
				phase.name, class, c.calls, c.done, c.inTarget, c.notRun, c.mayHaveRun, c.interrupted,
				phase.stats.quantile(class, 0.50), phase.stats.quantile(class, 0.99))
		}
	}
	_, _ = fmt.Fprintln(table)
	return table.Flush()
}
