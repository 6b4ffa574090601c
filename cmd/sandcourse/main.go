// Command sandcourse is the operators' command line: it checks settings, reads and orders engines' roles, and runs the
// tests that need a fleet, real, emulated or modelled.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"sandcourse/internal/config/script"
)

// version of this program; the changelog says what each brought.
const version = "0.2.0-dev"

// Exit statuses.
const (
	exitFailed  exitStatus = 1 // an error, or a test that found faults
	exitRefused exitStatus = 2 // a settings script has faults
)

// exitStatus is an error that chooses the program's exit status; what led to it has been printed already.
type exitStatus int

func (e exitStatus) Error() string { return fmt.Sprintf("exit %d", int(e)) }

func main() { os.Exit(int(run(newCommand()))) }

func newCommand() *cobra.Command {
	command := &cobra.Command{
		Use:           "sandcourse",
		Short:         "Routes LLM requests over prefill and decode engines",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	command.AddCommand(demoCommand(), soakCommand(), checkCommand(), fakeEngineCommand(), loadCommand(), scenarioCommand(),
		modelcheckCommand(), rolesCommand(), emulateCommand(), versionCommand())
	return command
}

func versionCommand() *cobra.Command {
	return &cobra.Command{Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(c *cobra.Command, _ []string) { fmt.Fprintln(c.OutOrStdout(), "sandcourse", version) }}
}

// run executes the command, prints its error and returns the program's exit status.
func run(command *cobra.Command) exitStatus {
	err := command.Execute()
	var status exitStatus
	var faults script.Faults
	switch {
	case err == nil:
		return 0
	case errors.As(err, &status):
		return status
	case errors.As(err, &faults):
		fmt.Fprintln(os.Stderr, err)
		return exitRefused
	}
	fmt.Fprintln(os.Stderr, "sandcourse:", err)
	return exitFailed
}

// untilStopped is a context that ends with SIGTERM or SIGINT; after stop they end the process again.
func untilStopped(parent context.Context) (ctx context.Context, stop context.CancelFunc) {
	return signal.NotifyContext(parent, syscall.SIGTERM, os.Interrupt)
}
