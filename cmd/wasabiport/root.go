package main

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// Exit statuses of the command.
const (
	exitOK = 0
	// exitFailed means that the command line was valid but the command failed.
	exitFailed = 1
	// exitUsage means that flags, arguments or settings are invalid.
	exitUsage = 2
)

// usageError marks an error in flags, arguments or settings.
type usageError struct{ error }

func (e usageError) Unwrap() error { return e.error }

func asUsageError(err error) error {
	if err == nil {
		return nil
	}
	return usageError{err}
}

// usageArgs wraps a check of arguments so that it returns usage errors.
func usageArgs(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(command *cobra.Command, arguments []string) error {
		return asUsageError(check(command, arguments))
	}
}

// execute runs the command line and returns the exit status.
func execute(ctx context.Context, arguments []string, stdout, stderr io.Writer) int {
	root := newRootCommand()
	root.SetArgs(arguments)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintf(stderr, "wasabiport: %v\n", err)
	if errors.As(err, new(usageError)) {
		return exitUsage
	}
	return exitFailed
}

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "wasabiport",
		Short: "Configuration distribution for a service mesh",
		Long: `wasabiport distributes configuration changes to every node of a service mesh. Each
node serves calls by priority class, or refuses a call and states whether it may
have run.`,
		Args:          usageArgs(rejectUnknownCommand),
		RunE:          func(command *cobra.Command, _ []string) error { return command.Help() },
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return asUsageError(err) })
	root.AddCommand(
		newNodeCommand(),
		newTicketCommand(),
		newDemoCommand(),
		newBenchCommand(),
		newKeysCommand(),
		newVersionCommand(),
	)
	return root
}

// rejectUnknownCommand returns an error if arguments remain after the subcommands
// have been resolved: the first one names an unknown command.
func rejectUnknownCommand(command *cobra.Command, arguments []string) error {
	if len(arguments) > 0 {
		return fmt.Errorf("%q has no command %q; see %s --help", command.CommandPath(), arguments[0], command.CommandPath())
	}
	return nil
}

// newGroupCommand returns a command that only has subcommands.
func newGroupCommand(use, short string, commands ...*cobra.Command) *cobra.Command {
	group := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  usageArgs(rejectUnknownCommand),
		RunE:  func(command *cobra.Command, _ []string) error { return command.Help() },
	}
	group.AddCommand(commands...)
	return group
}
