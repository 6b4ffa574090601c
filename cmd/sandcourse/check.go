package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"sandcourse/internal/config"
)

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings script completely",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			d, err := config.Load(args[0])
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%s: %d model routes, %d kinds, %d engines listed, roster %q: no fault\n",
				args[0], len(d.Routes), len(d.Kinds), len(d.Engines), d.EndpointFile)
			return nil
		},
	}
}
