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
		Short: "Create a baseline ticket from the configuration in force",
		Long: `Writes a ticket that contains the full configuration in force on a node. Its number
follows that of the latest ticket that the node has evaluated. Once it is filed, a
node that starts does not need to read the tickets before it.`,
		Example: `  wasabiport ticket baseline --operator http://10.1.0.11:9090 > baseline.json`,
		Args:    usageArgs(cobra.NoArgs),
	}
	baseURL := operatorFlag(command)
	command.RunE = func(command *cobra.Command, _ []string) error {
		ticket, evaluated, err := configurationOf(command.Context(), *baseURL)
		if err != nil {
			return err
		}
		ticket.Number = evaluated + 1
		encoded, err := ticketfile.Encode(ticket)
		if err != nil {
			return fmt.Errorf("encode the baseline: %w", err)
		}
		_, err = command.OutOrStdout().Write(encoded)
		return err
	}
	return command
}

// configurationOf returns the configuration in force on a node as a baseline ticket,
// and the number of the latest ticket that the node has evaluated.
func configurationOf(ctx context.Context, baseURL string) (state.Ticket, state.TicketNumber, error) {
	body, err := readNode(ctx, baseURL, "/v1/configuration")
	if err != nil {
		return state.Ticket{}, 0, err
	}
	var status operator.NodeStatus
	if err := queryNode(ctx, baseURL, "/v1/node", &status); err != nil {
		return state.Ticket{}, 0, err
	}
	return ticketfile.DecodeFile(body), status.Evaluated, nil
}
