// Command sandcourse is the operators' command line.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"sandcourse/internal/config/script"
)

// version of this program; the changelog says what each brought.
const version = "0.2.0-dev"

// exitStatus is an error that chooses the program's exit status and has been told already.
type exitStatus int

func (e exitStatus) Error() string { return fmt.Sprintf("exit %d", int(e)) }

func main() {
	root := &cobra.Command{Use: "sandcourse", Short: "Routes inferences over engines that read and engines that write",
		SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(demoCommand(), soakCommand(), checkCommand(), fakeEngineCommand(), loadCommand(), scenarioCommand(), modelcheckCommand(), rolesCommand(), emulateCommand(),
		&cobra.Command{Use: "version", Short: "Print the version", Args: cobra.NoArgs,
			Run: func(c *cobra.Command, _ []string) { fmt.Fprintln(c.OutOrStdout(), "sandcourse", version) }})
	err := root.Execute()
	var status exitStatus
	var faults script.Faults
	switch {
	case err == nil:
	case errors.As(err, &status):
		os.Exit(int(status))
	case errors.As(err, &faults):
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	default:
		fmt.Fprintln(os.Stderr, "sandcourse:", err)
		os.Exit(1)
	}
}
