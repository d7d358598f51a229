package main

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/wasabiport/wasabiport/protocol/ticketfile"
	"github.com/wasabiport/wasabiport/state"
	"github.com/wasabiport/wasabiport/transport/operator"
)

func newTicketBaselineCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "baseline",
		Short: "Prepare a baseline ticket from the configuration in force",
		Long: `Writes a ticket that carries the whole configuration in force on a node, under
the number after the latest ticket that the node has judged. Once it is filed, a
node that starts need not read the tickets before it.`,
		Example: `  wasabiport ticket baseline --operator http://10.1.0.11:9090 > baseline.json`,
		Args:    usageArgs(cobra.NoArgs),
	}
	baseURL := operatorFlag(command)
	command.RunE = func(command *cobra.Command, _ []string) error {
		ticket, judged, err := configurationOf(command.Context(), *baseURL)
		if err != nil {
			return err
		}
		ticket.Number = judged + 1
		encoded, err := ticketfile.Encode(ticket)
		if err != nil {
			return fmt.Errorf("prepare a baseline: %w", err)
		}
		_, err = command.OutOrStdout().Write(encoded)
		return err
	}
	return command
}

// configurationOf reads the configuration in force on a node as a baseline
// ticket, and the number of the latest ticket that the node has judged.
func configurationOf(ctx context.Context, baseURL string) (state.Ticket, state.TicketNumber, error) {
	body, err := readNode(ctx, baseURL, "/v1/configuration")
	if err != nil {
		return state.Ticket{}, 0, err
	}
	var status operator.NodeStatus
	if err := askNode(ctx, baseURL, "/v1/node", &status); err != nil {
		return state.Ticket{}, 0, err
	}
	return ticketfile.DecodeFile(body), status.Evaluated, nil
}
