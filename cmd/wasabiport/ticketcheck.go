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

// fileResult is the result of checking one ticket file.
type fileResult struct {
	File     string             `json:"file"`
	Number   state.TicketNumber `json:"number"`
	Accepted bool               `json:"accepted"`
	Errors   []fileError        `json:"faults,omitempty"`
}

type fileError struct {
	Path   string `json:"path"`
	Reason string `json:"reason"`
}

func newTicketCheckCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "check FILE...",
		Short: "Validate ticket files in order, as every node will",
		Long: `Validates ticket files in the order given and lists every error with its path. With
--operator, the first file is validated against the configuration in force on a
node. Without it, the first file is validated against an empty configuration, so
give all files since the first ticket or the latest baseline. Exits with status 1
when a ticket would be rejected. The file "-" is standard input.`,
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
		before, err := initialConfiguration(command.Context(), *baseURL)
		if err != nil {
			return err
		}
		results, err := checkFiles(command.InOrStdin(), before, files)
		if err != nil {
			return err
		}
		if err := writeResults(command.OutOrStdout(), *output, results); err != nil {
			return err
		}
		return rejectionError(results)
	}
	return command
}

// initialConfiguration returns the configuration in force on a node, or an empty one
// when baseURL is empty.
func initialConfiguration(ctx context.Context, baseURL string) (*state.Snapshot, error) {
	if baseURL == "" {
		return state.EmptySnapshot(), nil
	}
	baseline, evaluated, err := configurationOf(ctx, baseURL)
	if err != nil {
		return nil, err
	}
	builder := state.NewSnapshotBuilder(nil)
	builder.Set(baseline.Set)
	return builder.Build(evaluated, baseline.Number), nil
}

func checkFiles(stdin io.Reader, before *state.Snapshot, files []string) ([]fileResult, error) {
	snapshot := before
	var results []fileResult
	for _, file := range files {
		data, err := readTicketFile(stdin, file)
		if err != nil {
			return nil, err
		}
		ticket := ticketfile.DecodeFile(data)
		ticket.Malformed = append(ticket.Malformed, checkOrder(snapshot, ticket)...)
		var verdict state.Verdict
		snapshot, verdict = validation.Evaluate(snapshot, ticket)
		results = append(results, newFileResult(file, verdict))
	}
	return results, nil
}

// checkOrder returns an error when the number of a ticket does not follow the one
// before. The first ticket and baselines may have any number.
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
		// One byte more than the limit is enough to detect a ticket that is too
		// large.
		return io.ReadAll(io.LimitReader(stdin, ticketfile.MaxTicketBytes+1))
	}
	return os.ReadFile(file)
}

func newFileResult(file string, verdict state.Verdict) fileResult {
	result := fileResult{File: file, Number: verdict.Number, Accepted: verdict.Accepted()}
	for _, validationError := range verdict.Errors {
		result.Errors = append(result.Errors, fileError(validationError))
	}
	return result
}

func writeResults(w io.Writer, output string, results []fileResult) error {
	if output == outputJSON {
		return writeJSON(w, results)
	}
	rows := [][]string{{"FILE", "TICKET", "VERDICT", "PLACE", "REASON"}}
	for _, file := range results {
		if file.Accepted {
			rows = append(rows, []string{file.File, fmt.Sprint(file.Number), "accepted"})
		}
		for _, validationError := range file.Errors {
			rows = append(rows, []string{file.File, fmt.Sprint(file.Number), "rejected", validationError.Path, validationError.Reason})
		}
	}
	return writeTable(w, rows)
}

func rejectionError(results []fileResult) error {
	rejected := 0
	for _, file := range results {
		if !file.Accepted {
			rejected++
		}
	}
	if rejected == 0 {
		return nil
	}
	return fmt.Errorf("%d of %d tickets would be rejected", rejected, len(results))
}
