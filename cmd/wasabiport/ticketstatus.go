package main

import (
	"fmt"
	"io"
	"strconv"

	"github.com/spf13/cobra"

	"github.com/wasabiport/wasabiport/transport/operator"
)

func newTicketStatusCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "status [N]",
		Short: "Show the status of tickets across the fleet",
		Long: `Shows the status of ticket N, or of each of the latest tickets, in every availability
zone, as known to any one node: the number of hosts on which it is in force,
rejected or not evaluated yet (behind), and of hosts without a recent report (not
heard). Availability zones without a recent report are named.`,
		Example: `  wasabiport ticket status
  wasabiport ticket status 7 --operator http://10.1.0.11:9090 --output json`,
		Args: usageArgs(cobra.MaximumNArgs(1)),
	}
	baseURL := operatorFlag(command)
	output := outputFlag(command)
	command.RunE = func(command *cobra.Command, arguments []string) error {
		if err := checkOutput(*output); err != nil {
			return err
		}
		if len(arguments) == 0 {
			return showTickets(command, *baseURL, *output)
		}
		return showTicket(command, *baseURL, *output, arguments[0])
	}
	return command
}

func showTicket(command *cobra.Command, baseURL, output, argument string) error {
	number, err := strconv.ParseUint(argument, 10, 64)
	if err != nil || number == 0 {
		return asUsageError(fmt.Errorf("a ticket number is a whole number from 1, not %q", argument))
	}
	var status operator.TicketStatus
	if err := queryNode(command.Context(), baseURL, fmt.Sprintf("/v1/tickets/%d", number), &status); err != nil {
		return err
	}
	if output == outputJSON {
		return writeJSON(command.OutOrStdout(), status)
	}
	return writeTickets(command.OutOrStdout(), []operator.TicketStatus{status})
}

func showTickets(command *cobra.Command, baseURL, output string) error {
	var list operator.TicketList
	if err := queryNode(command.Context(), baseURL, "/v1/tickets", &list); err != nil {
		return err
	}
	if output == outputJSON {
		return writeJSON(command.OutOrStdout(), list)
	}
	return writeTickets(command.OutOrStdout(), list.Tickets)
}

// writeTickets writes a row for each ticket and availability zone, then the errors of
// rejected tickets, the availability zones without a recent report, and the hosts whose
// configuration differs.
func writeTickets(w io.Writer, tickets []operator.TicketStatus) error {
	rows := [][]string{{"TICKET", "VERDICT", "ZONE", "HOSTS", "IN FORCE", "REJECTED", "BEHIND", "NOT HEARD", "OLDEST REPORT"}}
	for _, ticket := range tickets {
		for _, zone := range ticket.Zones {
			rows = append(rows, zoneRow(ticket, zone))
		}
	}
	if err := writeTable(w, rows); err != nil {
		return err
	}
	for _, ticket := range tickets {
		if err := writeRemarks(w, ticket); err != nil {
			return err
		}
	}
	return nil
}

func zoneRow(ticket operator.TicketStatus, zone operator.ZoneStatus) []string {
	row := []string{fmt.Sprint(ticket.Number), ticket.Verdict, string(zone.Zone)}
	for _, count := range []int{zone.Hosts, zone.InForce, zone.Rejected, zone.Behind, zone.Unreported} {
		row = append(row, strconv.Itoa(count))
	}
	return append(row, zone.OldestReport)
}

func writeRemarks(w io.Writer, ticket operator.TicketStatus) error {
	for _, validationError := range ticket.Errors {
		if _, err := fmt.Fprintf(w, "ticket %d: %s: %s\n", ticket.Number, validationError.Path, validationError.Reason); err != nil {
			return err
		}
	}
	for _, zone := range ticket.UnseenZones {
		if _, err := fmt.Fprintf(w, "ticket %d: the node can't see availability zone %s\n", ticket.Number, zone); err != nil {
			return err
		}
	}
	for _, zone := range ticket.Zones {
		if zone.Diverged == 0 {
			continue
		}
		_, err := fmt.Fprintf(w, "ticket %d: %d hosts of %s have another configuration than the node\n",
			ticket.Number, zone.Diverged, zone.Zone)
		if err != nil {
			return err
		}
	}
	return nil
}
