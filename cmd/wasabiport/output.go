package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"
)

// Output formats of commands that print reports.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// outputFlag adds the flag for the output format.
func outputFlag(command *cobra.Command) *string {
	return command.Flags().StringP("output", "o", outputTable, "output format: table or json")
}

func checkOutput(format string) error {
	if format == outputTable || format == outputJSON {
		return nil
	}
	return asUsageError(fmt.Errorf("--output must be %s or %s, but is %q", outputTable, outputJSON, format))
}

func writeJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// writeTable writes rows as a table with aligned columns.
func writeTable(w io.Writer, rows [][]string) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		if _, err := fmt.Fprintln(table, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return table.Flush()
}
