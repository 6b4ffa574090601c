package main

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"sandcourse/internal/fake/engine"
	"sandcourse/internal/planner/planapi"
)

func fakeEngineCommand() *cobra.Command {
	var config engine.Config
	command := &cobra.Command{
		Use:   "standin",
		Short: "Run one fake engine",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return runFakeEngine(c, config) },
	}
	command.Flags().StringVar(&config.Addr, "at", "127.0.0.1:0", "address to listen on")
	command.Flags().StringVar(&config.Role, "role", planapi.Prefill, "read (prefill) or write (decode)")
	command.Flags().Uint64Var(&config.Seed, "seed", 1, "random seed of the responses")
	return command
}

func runFakeEngine(c *cobra.Command, config engine.Config) error {
	if config.Role != planapi.Prefill && config.Role != planapi.Decode {
		return fmt.Errorf("--role must be %s or %s, not %q", planapi.Prefill, planapi.Decode, config.Role)
	}
	e, err := engine.Start(config, nil, &engine.IdempotencyKeys{})
	if err != nil {
		return err
	}
	fmt.Fprintln(c.OutOrStdout(), "stand-in", config.Role, "at", e.Addr())
	ctx, stop := withStopSignals(context.Background())
	defer stop()
	<-ctx.Done()
	e.Stop()
	return nil
}

// decodeSeed is shared by all fake decode engines, so that a retry on another engine gets the same response.
const decodeSeed = 7

// fakeEngines returns the configurations of the given numbers of fake prefill and decode engines.
func fakeEngines(prefill, decode int) (configs []engine.Config) {
	for i := range prefill {
		configs = append(configs, engine.Config{Name: fmt.Sprint("reader", i), Role: planapi.Prefill, Seed: uint64(i)})
	}
	for i := range decode {
		configs = append(configs, engine.Config{Name: fmt.Sprint("writer", i), Role: planapi.Decode, Seed: decodeSeed})
	}
	return configs
}
