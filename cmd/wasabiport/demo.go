package main

import (
	"errors"

	"github.com/spf13/cobra"
)

func newDemoCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "demo",
		Short: "Show a fleet at work in one process",
		Args:  usageArgs(cobra.NoArgs),
		RunE:  func(*cobra.Command, []string) error { return errors.New("not yet") },
	}
}
