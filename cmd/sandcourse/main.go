// Command sandcourse is the command-line tool for operators: it checks settings scripts, shows and changes the roles of
// engines, and runs tests on fake, emulated and modelled fleets.
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

// version is the program version; the changelog lists the changes by version.
const version = "0.2.0-dev"

// Exit statuses.
const (
	exitFailed          exitStatus = 1 // an error, or a test that found violations
	exitInvalidSettings exitStatus = 2 // a settings script has faults
)

// exitStatus is an error that only sets the exit status of the program, because its cause has already been printed.
type exitStatus int

func (e exitStatus) Error() string { return fmt.Sprintf("exit %d", int(e)) }

func main() { os.Exit(int(run(newCommand()))) }

func newCommand() *cobra.Command {
	command := &cobra.Command{
		Use:           "sandcourse",
		Short:         "Operate and test a router that sends LLM requests to prefill and decode engines",
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

// run executes the command, prints its error and returns the exit status of the program.
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
		return exitInvalidSettings
	}
	fmt.Fprintln(os.Stderr, "sandcourse:", err)
	return exitFailed
}

// withStopSignals returns a context that SIGTERM and SIGINT cancel. After stop has been called, these signals end the process.
func withStopSignals(parent context.Context) (ctx context.Context, stop context.CancelFunc) {
	return signal.NotifyContext(parent, syscall.SIGTERM, os.Interrupt)
}
