package main

import "github.com/spf13/cobra"

func newTicketCommand() *cobra.Command {
	return newGroupCommand(
		"ticket",
		"Check tickets before they are filed and follow them afterwards",
		newTicketBaselineCommand(),
		newTicketCheckCommand(),
		newTicketStatusCommand(),
	)
}
