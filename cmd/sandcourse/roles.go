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

// errUnknownEngine says that the planner knows no engine of a given address.
var errUnknownEngine = errors.New("no such engine is known")

func rolesCommand() *cobra.Command {
	client := newPlannerClient()
	command := &cobra.Command{Use: "roles", Short: "Inspect engines' roles, and order changes"}
	command.PersistentFlags().StringVar(&client.address, "planner", "127.0.0.1:9090", "the planner's address")
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
		Short: "List engines with role, epoch and state",
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
	command.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return command
}

func explainRolesCommand(client *plannerClient) *cobra.Command {
	return &cobra.Command{
		Use:   "explain [ENGINE]",
		Short: "Explain the last decision, or an engine's role and state",
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
			return explainEngineNamed(c, status, args[0])
		},
	}
}

func explainEngineNamed(c *cobra.Command, status planner.Status, engine string) error {
	for _, e := range status.Engines {
		if e.Engine == engine {
			explainEngine(c.OutOrStdout(), e)
			return nil
		}
	}
	return fmt.Errorf("%s: %w", engine, errUnknownEngine)
}

// roleOrder is one of the orders of planapi.Ops as a command.
type roleOrder struct {
	op, about  string
	needEngine bool
}

var roleOrders = []roleOrder{
	{"pin", "Keep an engine in its role", true},
	{"unpin", "Let it change again", true},
	{"move", "Change an engine's role now, as far as floors and budgets allow", true},
	{"readmit", "Ask an engine that was ejected to come back", true},
	{"stop", "Begin no change; what is draining returns to its role", false},
	{"go", "Let changes go on", false},
}

func orderCommand(client *plannerClient, o roleOrder) *cobra.Command {
	order := planapi.Order{Operation: o.op}
	use, args := o.op+" --why TEXT", cobra.NoArgs
	if o.needEngine {
		use, args = o.op+" ENGINE --why TEXT", cobra.ExactArgs(1)
	}
	command := &cobra.Command{
		Use:   use,
		Short: o.about,
		Args:  args,
		RunE: func(c *cobra.Command, args []string) error {
			if len(args) > 0 {
				order.Engine = args[0]
			}
			answer, err := client.order(order)
			if err != nil {
				return err
			}
			if order.DryRun {
				fmt.Fprint(c.OutOrStdout(), "nothing is changed; it would be: ")
			}
			fmt.Fprint(c.OutOrStdout(), answer)
			return nil
		},
	}
	command.Flags().StringVar(&order.Operator, "who", os.Getenv("USER"), "who orders it")
	command.Flags().StringVar(&order.Reason, "why", "", "the reason, for whoever reads it later")
	command.Flags().BoolVar(&order.DryRun, "dry-run", false, "only print what would be done, or why not")
	if err := command.MarkFlagRequired("why"); err != nil {
		panic(err) // no such flag
	}
	return command
}
