package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/wasabiport/wasabiport/coordination/validation"
	"github.com/wasabiport/wasabiport/protocol/ticketfile"
	"github.com/wasabiport/wasabiport/state"
)

// checkedFile is the verdict on one ticket file.
type checkedFile struct {
	File     string             `json:"file"`
	Number   state.TicketNumber `json:"number"`
	Accepted bool               `json:"accepted"`
	Faults   []checkedFault     `json:"faults,omitempty"`
}

type checkedFault struct {
	Path   string `json:"path"`
	Reason string `json:"reason"`
}

func newTicketCheckCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "check FILE...",
		Short: "Judge ticket files in order, as every node will",
		Long: `Judges ticket files in the order given and lists every fault with its place. The
first is judged on the configuration in force on a node with --operator, and on
an empty configuration without: then give all files since the first ticket or
the latest baseline. Ends with status 1 when a ticket would be rejected. The
file "-" is standard input.`,
		Example: `  wasabiport ticket check examples/lakeshore/*.json
  wasabiport ticket check --operator http://10.1.0.11:9090 next.json
  wasabiport ticket check --output json 0001.json 0002.json`,
		Args: usageArgs(cobra.MinimumNArgs(1)),
	}
	output := outputFlag(command)
	baseURL := command.Flags().String("operator", "", "base URL of the operators' listener of a node, on whose configuration the first file is judged")
	command.RunE = func(command *cobra.Command, files []string) error {
		if err := checkOutput(*output); err != nil {
			return err
		}
		before, err := configurationBefore(command.Context(), *baseURL)
		if err != nil {
			return err
		}
		checked, err := checkFiles(command.InOrStdin(), before, files)
		if err != nil {
			return err
		}
		if err := writeChecked(command.OutOrStdout(), *output, checked); err != nil {
			return err
		}
		return rejections(checked)
	}
	return command
}

// configurationBefore returns the configuration in force on a node, or an empty
// one when baseURL is empty.
func configurationBefore(ctx context.Context, baseURL string) (*state.Snapshot, error) {
	if baseURL == "" {
		return state.EmptySnapshot(), nil
	}
	baseline, judged, err := configurationOf(ctx, baseURL)
	if err != nil {
		return nil, err
	}
	builder := state.NewSnapshotBuilder(nil)
	builder.Set(baseline.Set)
	return builder.Build(judged, baseline.Number), nil
}

func checkFiles(stdin io.Reader, before *state.Snapshot, files []string) ([]checkedFile, error) {
	snapshot := before
	var checked []checkedFile
	for _, file := range files {
		data, err := readTicketFile(stdin, file)
		if err != nil {
			return nil, err
		}
		ticket := ticketfile.DecodeFile(data)
		ticket.Malformed = append(ticket.Malformed, checkOrder(snapshot, ticket)...)
		var verdict state.Verdict
		snapshot, verdict = validation.Evaluate(snapshot, ticket)
		checked = append(checked, newCheckedFile(file, verdict))
	}
	return checked, nil
}

// checkOrder returns a fault for a ticket that does not follow the one before.
func checkOrder(before *state.Snapshot, ticket state.Ticket) []state.ValidationError {
	want := before.Evaluated() + 1
	first := before.Evaluated() == 0
	if first || ticket.Number == want || ticket.Baseline {
		return nil
	}
	return []state.ValidationError{{
		Path:   "number",
		Reason: fmt.Sprintf("is %d, but the ticket before makes this ticket %d", ticket.Number, want),
	}}
}

func readTicketFile(stdin io.Reader, file string) ([]byte, error) {
	if file == "-" {
		// One byte over the limit is enough to see that the ticket is too large.
		return io.ReadAll(io.LimitReader(stdin, ticketfile.MaxTicketBytes+1))
	}
	return os.ReadFile(file)
}

func newCheckedFile(file string, verdict state.Verdict) checkedFile {
	checked := checkedFile{File: file, Number: verdict.Number, Accepted: verdict.Accepted()}
	for _, fault := range verdict.Errors {
		checked.Faults = append(checked.Faults, checkedFault(fault))
	}
	return checked
}

func writeChecked(w io.Writer, output string, checked []checkedFile) error {
	if output == outputJSON {
		return writeJSON(w, checked)
	}
	rows := [][]string{{"FILE", "TICKET", "VERDICT", "PLACE", "REASON"}}
	for _, file := range checked {
		if file.Accepted {
			rows = append(rows, []string{file.File, fmt.Sprint(file.Number), "accepted"})
		}
		for _, fault := range file.Faults {
			rows = append(rows, []string{file.File, fmt.Sprint(file.Number), "rejected", fault.Path, fault.Reason})
		}
	}
	return writeTable(w, rows)
}

func rejections(checked []checkedFile) error {
	rejected := 0
	for _, file := range checked {
		if !file.Accepted {
			rejected++
		}
	}
	if rejected == 0 {
		return nil
	}
	return fmt.Errorf("%d of %d tickets would be rejected", rejected, len(checked))
}
