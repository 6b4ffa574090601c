package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"sandcourse/internal/planner"
	"sandcourse/internal/planner/planapi"
)

// errUnknownEngine is returned for an address that is not in the planner's status.
var errUnknownEngine = errors.New("engine is not known to the planner")

func rolesCommand() *cobra.Command {
	client := newPlannerClient()
	command := &cobra.Command{Use: "roles", Short: "Show the roles of engines and order role changes"}
	command.PersistentFlags().StringVar(&client.address, "planner", "127.0.0.1:9090", "address of the planner")
	command.AddCommand(showRolesCommand(client), explainRolesCommand(client), sweepCommand())
	for _, o := range roleOrders {
		command.AddCommand(orderCommand(client, o))
	}
	return command
}

func showRolesCommand(client *plannerClient) *cobra.Command {
	var asJSON bool
	command := &cobra.Command{
		Use:   "show",
		Short: "List the engines with role, epoch and state",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			status, err := client.status()
			if err != nil {
				return err
			}
			if asJSON {
				return json.NewEncoder(c.OutOrStdout()).Encode(status)
			}
			printRoles(c.OutOrStdout(), status)
			return nil
		},
	}
	command.Flags().BoolVar(&asJSON, "json", false, "print the status as JSON")
	return command
}

func explainRolesCommand(client *plannerClient) *cobra.Command {
	return &cobra.Command{
		Use:   "explain [ENGINE]",
		Short: "Explain the planner's last decision, or the role and state of one engine",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			status, err := client.status()
			if err != nil {
				return err
			}
			if len(args) == 0 {
				explainDecision(c.OutOrStdout(), status.Decision)
				return nil
			}
			return explainEngineByAddress(c, status, args[0])
		},
	}
}

func explainEngineByAddress(c *cobra.Command, status planner.Status, engine string) error {
	for _, e := range status.Engines {
		if e.Engine == engine {
			explainEngine(c.OutOrStdout(), e)
			return nil
		}
	}
	return fmt.Errorf("%s: %w", engine, errUnknownEngine)
}

// roleOrder describes the subcommand for one of planapi.Operations.
type roleOrder struct {
	op, summary string
	needsEngine bool
}

var roleOrders = []roleOrder{
	{"pin", "Keep an engine in its role", true},
	{"unpin", "Let a pinned engine change its role again", true},
	{"move", "Change an engine's role now, within the limits on role changes", true},
	{"readmit", "Return a quarantined engine to service", true},
	{"stop", "Stop role changes; draining engines keep their roles", false},
	{"go", "Allow role changes again", false},
}

func orderCommand(client *plannerClient, o roleOrder) *cobra.Command {
	order := planapi.Order{Operation: o.op}
	use, args := o.op+" --why TEXT", cobra.NoArgs
	if o.needsEngine {
		use, args = o.op+" ENGINE --why TEXT", cobra.ExactArgs(1)
	}
	command := &cobra.Command{
		Use:   use,
		Short: o.summary,
		Args:  args,
		RunE: func(c *cobra.Command, args []string) error {
			if len(args) > 0 {
				order.Engine = args[0]
			}
			response, err := client.order(order)
			if err != nil {
				return err
			}
			if order.DryRun {
				fmt.Fprint(c.OutOrStdout(), "dry run, nothing was changed; without --dry-run the result would be: ")
			}
			fmt.Fprint(c.OutOrStdout(), response)
			return nil
		},
	}
	command.Flags().StringVar(&order.Operator, "who", os.Getenv("USER"), "operator's name, recorded with the order")
	command.Flags().StringVar(&order.Reason, "why", "", "reason, recorded with the order")
	command.Flags().BoolVar(&order.DryRun, "dry-run", false, "only print what the order would do, or why it is refused")
	if err := command.MarkFlagRequired("why"); err != nil {
		panic(err) // An error means that the flag is not defined above.
	}
	return command
}
