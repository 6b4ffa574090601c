package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"sandcourse/internal/config"
)

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings script and print every fault in it",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			d, err := config.Load(args[0])
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%s: valid: %d model routes, %d engine kinds, %d engines in the script, endpoint list file %q\n",
				args[0], len(d.Routes), len(d.Kinds), len(d.Engines), d.EndpointFile)
			return nil
		},
	}
}
