package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/wasabiport/wasabiport/coordination/configreview"
	"github.com/wasabiport/wasabiport/protocol/reviewreport"
	"github.com/wasabiport/wasabiport/protocol/ticketfile"
	"github.com/wasabiport/wasabiport/state"
)

// errRejected means that nodes would reject the reviewed ticket.
var errRejected = errors.New("the ticket would be rejected")

func newTicketReviewCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "review FILE",
		Short: "Review a ticket file: errors, unused entries, conflicts and changes",
		Long: `Reports what a ticket would do to the configuration in force: the errors for which
nodes would reject it, entries that no call can match or reach, limits that contradict
each other, and each field that changes. The configuration in force is that of the node
of --operator, or the baseline ticket of --against, or empty. Exits with status 1 when
the ticket would be rejected; other findings don't change the status. The file "-" is
standard input.`,
		Example: `  wasabiport ticket review --operator http://10.1.0.11:9090 next.json
  wasabiport ticket review --against baseline.json --output json next.json`,
		Args: usageArgs(cobra.ExactArgs(1)),
	}
	output := outputFlag(command)
	baseURL := command.Flags().String("operator", "", "base URL of the operators' listener of a node whose configuration is in force")
	against := command.Flags().String("against", "", "baseline ticket file with the configuration in force")
	command.MarkFlagsMutuallyExclusive("operator", "against")
	command.RunE = func(command *cobra.Command, files []string) error {
		if err := checkOutput(*output); err != nil {
			return err
		}
		before, err := configurationInForce(command.Context(), *baseURL, *against)
		if err != nil {
			return err
		}
		data, err := readTicketFile(command.InOrStdin(), files[0])
		if err != nil {
			return err
		}
		report := configreview.Review(before, ticketfile.DecodeFile(data))
		if err := writeReview(command.OutOrStdout(), *output, report); err != nil {
			return err
		}
		if report.Rejected() {
			return errRejected
		}
		return nil
	}
	return command
}

// configurationInForce returns the configuration of a node or of a baseline ticket file,
// or an empty one when neither is named.
func configurationInForce(ctx context.Context, baseURL, file string) (*state.Snapshot, error) {
	if file == "" {
		return initialConfiguration(ctx, baseURL)
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	baseline := ticketfile.DecodeFile(data)
	if len(baseline.Malformed) > 0 {
		return nil, fmt.Errorf("%s: %s %s", file, baseline.Malformed[0].Path, baseline.Malformed[0].Reason)
	}
	builder := state.NewSnapshotBuilder(nil)
	builder.Set(baseline.Set)
	return builder.Build(baseline.Number, baseline.Number), nil
}

func writeReview(w io.Writer, output string, report configreview.Report) error {
	if output == outputJSON {
		return writeJSON(w, reviewreport.Encode(report))
	}
	return writeTable(w, reviewreport.Rows(report))
}
