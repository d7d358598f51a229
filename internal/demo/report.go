package demo

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/wasabiport/wasabiport/coordination/fleetstatus"
	"github.com/wasabiport/wasabiport/state"
)

// report prints where each ticket stands, what each class got and which
// promises held.
func (s *show) report() error {
	_, _ = fmt.Fprintf(s.out, "\n%s\n\n", s.fleet.deployment.Name)
	if err := s.reportTickets(); err != nil {
		return err
	}
	if err := s.reportClasses(); err != nil {
		return err
	}
	return s.promises.print(s.out)
}

// reportTickets prints where each ticket stands, as any node tells it.
func (s *show) reportTickets() error {
	node := s.fleet.running()[0]
	table := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "TICKET\tVERDICT\tSTANDS")
	for number := range s.fleet.platform.TicketCount() {
		status := node.TicketStatus(state.TicketNumber(number + 1))
		_, _ = fmt.Fprintf(table, "%d\t%s\t%s\n", status.Number, status.Outcome, standing(status))
		for _, fault := range status.Errors {
			_, _ = fmt.Fprintf(table, "\t\t%s: %s\n", fault.Path, fault.Reason)
		}
	}
	_, _ = fmt.Fprintln(table)
	return table.Flush()
}

// standing says on how many hosts of each availability zone a ticket is in
// force or rejected.
func standing(status fleetstatus.TicketStatus) string {
	var zones []string
	for _, zone := range status.Zones {
		zones = append(zones, fmt.Sprintf("%s %d of %d", zone.Zone, zone.InForce+zone.Rejected, zone.Hosts))
	}
	return strings.Join(zones, ", ")
}

func (s *show) reportClasses() error {
	table := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "PHASE\tCLASS\tCALLS\tDONE\tIN TARGET\tNOT RUN\tMAY HAVE RUN\tCUT\tP50\tP99")
	for _, phase := range s.phases {
		for _, class := range state.Classes() {
			c := phase.tally.of(class)
			_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\n",
				phase.name, class, c.calls, c.done, c.inTarget, c.notRun, c.mayHaveRun, c.cut,
				phase.tally.quantile(class, 0.50), phase.tally.quantile(class, 0.99))
		}
	}
	_, _ = fmt.Fprintln(table)
	return table.Flush()
}
