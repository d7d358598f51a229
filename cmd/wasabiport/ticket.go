package main

import "github.com/spf13/cobra"

func newTicketCommand() *cobra.Command {
	return newGroupCommand(
		"ticket",
		"Check tickets before they are filed and show their status afterwards",
		newTicketBaselineCommand(),
		newTicketCheckCommand(),
		newTicketReviewCommand(),
		newTicketStatusCommand(),
	)
}
