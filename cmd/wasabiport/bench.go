package main

import (
	"fmt"
	"strconv"

	"github.com/spf13/cobra"

	"github.com/wasabiport/wasabiport/internal/bench"
)

const defaultBenchSeed = 1

func newBenchCommand() *cobra.Command {
	command := newGroupCommand("bench", "Run benchmarks of nodes on loopback", newBenchListCommand())
	command.Long = "Runs nodes in one process on loopback, with a stand-in platform and stand-in backend servers, and reports each figure with its target."
	command.Example = `  wasabiport bench list
  wasabiport bench converge --output json`
	for _, measurement := range bench.All() {
		command.AddCommand(newBenchRunCommand(measurement))
	}
	return command
}

func newBenchListCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the benchmarks",
		Args:  usageArgs(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error {
			rows := [][]string{{"BENCH", "MEASURES"}}
			for _, measurement := range bench.All() {
				rows = append(rows, []string{measurement.Name, measurement.Summary})
			}
			return writeTable(command.OutOrStdout(), rows)
		},
	}
}

func newBenchRunCommand(measurement bench.Bench) *cobra.Command {
	command := &cobra.Command{
		Use:   measurement.Name,
		Short: measurement.Summary,
		Args:  usageArgs(cobra.NoArgs),
	}
	output := outputFlag(command)
	seed := command.Flags().Uint64("seed", defaultBenchSeed, "seed of the random choices")
	nodes := command.Flags().IntSlice("nodes", nil, "fleet sizes to measure, such as 25,50 (default: those of the bench)")
	command.RunE = func(command *cobra.Command, _ []string) error {
		if err := checkOutput(*output); err != nil {
			return err
		}
		results, err := measurement.Run(command.Context(), bench.Options{Seed: *seed, Nodes: *nodes})
		if err != nil {
			return err
		}
		report := bench.Report{Bench: measurement.Name, Seed: *seed, Results: results}
		if *output == outputJSON {
			return writeJSON(command.OutOrStdout(), report)
		}
		return writeTable(command.OutOrStdout(), benchRows(report))
	}
	return command
}

func benchRows(report bench.Report) [][]string {
	rows := [][]string{{"FIGURE", "VALUE", "UNIT", "TARGET", "MET"}}
	for _, result := range report.Results {
		met := ""
		if result.Met != nil {
			met = strconv.FormatBool(*result.Met)
		}
		value := fmt.Sprintf("%.4g", result.Value)
		rows = append(rows, []string{result.Name, value, result.Unit, result.Target, met})
	}
	return rows
}
