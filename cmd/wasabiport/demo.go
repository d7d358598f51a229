package main

import (
	"github.com/spf13/cobra"

	"github.com/wasabiport/wasabiport/internal/demo"
)

func newDemoCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "demo",
		Short: "Demonstrate a fleet in one process",
		Long: `Runs the deployments under examples in one process on loopback: a stand-in
platform, nodes in three availability zones and stand-in backend servers. Files
tickets, including an invalid one, sends calls of each class, drains a backend
server, overloads the fleet, stops a node, kills another and restarts it. Prints
the status of each ticket, the results of each class and which guarantees were
kept. Exits with status 0 when all of them were.`,
		Example: `  wasabiport demo
  wasabiport demo --keep`,
		Args: usageArgs(cobra.NoArgs),
	}
	keep := command.Flags().Bool("keep", false, "leave everything running and print the addresses")
	command.RunE = func(command *cobra.Command, _ []string) error {
		return demo.Run(command.Context(), demo.Options{Out: command.OutOrStdout(), Keep: *keep})
	}
	return command
}
