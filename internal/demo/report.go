package demo

import (
	"fmt"
	"text/tabwriter"

	"github.com/wasabiport/wasabiport/coordination/acceptance"
	"github.com/wasabiport/wasabiport/protocol/ticketfile"
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

func (s *show) reportTickets() error {
	table := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "TICKET\tVERDICT\tJUDGED BY\tREASON")
	snapshot := state.EmptySnapshot()
	for number, raw := range s.fleet.platform.Tickets() {
		var verdict state.Verdict
		ticket := ticketfile.Decode(state.TicketNumber(number+1), raw)
		snapshot, verdict = acceptance.Judge(snapshot, ticket)
		judged := 0
		for _, node := range s.fleet.running() {
			if node.Head().Judged >= ticket.Number {
				judged++
			}
		}
		text, reason := "accepted", ""
		if !verdict.Accepted() {
			text = "rejected"
			reason = verdict.Faults[0].Path + " " + verdict.Faults[0].Reason
		}
		_, _ = fmt.Fprintf(table, "%d\t%s\t%d of %d\t%s\n", ticket.Number, text, judged, len(s.fleet.hosts), reason)
	}
	_, _ = fmt.Fprintln(table)
	return table.Flush()
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
