package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/wasabiport/wasabiport/transport/operator"
)

func newNodeStatusCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "status",
		Short: "Show the readiness and the latest tickets of a node",
		Example: `  wasabiport node status
  wasabiport node status --operator http://10.1.0.11:9090 --output json`,
		Args: usageArgs(cobra.NoArgs),
	}
	baseURL := operatorFlag(command)
	output := outputFlag(command)
	command.RunE = func(command *cobra.Command, _ []string) error {
		if err := checkOutput(*output); err != nil {
			return err
		}
		var status operator.NodeStatus
		if err := queryNode(command.Context(), *baseURL, "/v1/node", &status); err != nil {
			return err
		}
		if *output == outputJSON {
			return writeJSON(command.OutOrStdout(), status)
		}
		return writeNodeStatus(command.OutOrStdout(), status)
	}
	return command
}

func writeNodeStatus(w io.Writer, status operator.NodeStatus) error {
	ready := "yes"
	if !status.Ready {
		ready = "no: " + status.NotReady
	}
	return writeTable(w, [][]string{
		{"HOST", string(status.Host)},
		{"ZONE", string(status.Zone)},
		{"READY", ready},
		{"LATEST TICKET JUDGED", fmt.Sprint(status.Evaluated)},
		{"LATEST TICKET IN FORCE", fmt.Sprint(status.Accepted)},
		{"DIGEST", status.Digest},
	})
}
