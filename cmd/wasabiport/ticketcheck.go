package main

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/wasabiport/wasabiport/coordination/acceptance"
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
		Long: `Judges ticket files in the order given, the first on an empty configuration, and
lists every fault with its place. Give all files since the first ticket or the
latest baseline. Ends with status 1 when a ticket would be rejected. The file
"-" is standard input.`,
		Example: `  wasabiport ticket check examples/lakeshore/*.json
  wasabiport ticket check --output json 0001.json 0002.json`,
		Args: usageArgs(cobra.MinimumNArgs(1)),
	}
	output := outputFlag(command)
	command.RunE = func(command *cobra.Command, files []string) error {
		if err := checkOutput(*output); err != nil {
			return err
		}
		checked, err := checkFiles(command.InOrStdin(), files)
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

func checkFiles(stdin io.Reader, files []string) ([]checkedFile, error) {
	snapshot := state.EmptySnapshot()
	var checked []checkedFile
	for index, file := range files {
		data, err := readTicketFile(stdin, file)
		if err != nil {
			return nil, err
		}
		ticket := ticketfile.DecodeFile(data)
		ticket.Malformed = append(ticket.Malformed, checkOrder(index, snapshot, ticket)...)
		var verdict state.Verdict
		snapshot, verdict = acceptance.Judge(snapshot, ticket)
		checked = append(checked, newCheckedFile(file, verdict))
	}
	return checked, nil
}

// checkOrder returns a fault for a ticket that does not follow the one before.
func checkOrder(index int, before *state.Snapshot, ticket state.Ticket) []state.Fault {
	want := before.Judged() + 1
	if index == 0 || ticket.Number == want || ticket.Baseline {
		return nil
	}
	return []state.Fault{{
		Path:   "number",
		Reason: fmt.Sprintf("is %d, but the file before makes this ticket %d", ticket.Number, want),
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
	for _, fault := range verdict.Faults {
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
