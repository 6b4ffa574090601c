package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"sandcourse/internal/planner"
	"sandcourse/internal/planner/assignment"
	"sandcourse/internal/planner/planapi"
)

func rolesCommand() *cobra.Command {
	var at string
	var asJSON bool
	c := &cobra.Command{Use: "roles", Short: "Look at engines' roles, and order changes"}
	c.PersistentFlags().StringVar(&at, "planner", "127.0.0.1:9090", "the planner's address")
	client := &http.Client{Timeout: 10 * time.Second}
	look := func() (s planner.Status, err error) {
		answer, err := client.Get("http://" + at + planapi.RolesPath)
		if err != nil {
			return s, err
		}
		defer answer.Body.Close()
		if answer.StatusCode != http.StatusOK {
			return s, fmt.Errorf("planner %s answers %s", at, answer.Status)
		}
		return s, json.NewDecoder(io.LimitReader(answer.Body, 64<<20)).Decode(&s)
	}
	show := &cobra.Command{Use: "show", Short: "List engines with role, epoch and state", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := look()
			if err != nil {
				return err
			}
			if asJSON {
				return json.NewEncoder(c.OutOrStdout()).Encode(s)
			}
			printRoles(c.OutOrStdout(), s)
			return nil
		}}
	show.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	explain := &cobra.Command{Use: "explain [ENGINE]",
		Short: "Say what was weighed last, or why an engine is where it is", Args: cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := look()
			if err != nil {
				return err
			}
			if len(args) == 0 {
				explainDecision(c.OutOrStdout(), s)
				return nil
			}
			for _, e := range s.Engines {
				if e.Engine == args[0] {
					explainEngine(c.OutOrStdout(), e)
					return nil
				}
			}
			return fmt.Errorf("%s: no such engine is known", args[0])
		}}
	c.AddCommand(show, explain, sweepCommand())
	for _, o := range []struct {
		op, about string
		engine    bool
	}{{"pin", "Keep an engine in its role", true}, {"unpin", "Let it change again", true},
		{"move", "Change an engine's role now, as far as floors and budgets let it", true},
		{"readmit", "Ask an engine that was set aside to come back", true},
		{"stop", "Begin no change; what drains goes back", false}, {"go", "Let changes go on", false}} {
		order := planapi.Order{Operation: o.op}
		use, args := o.op+" --why TEXT", cobra.NoArgs
		if o.engine {
			use, args = o.op+" ENGINE --why TEXT", cobra.ExactArgs(1)
		}
		sub := &cobra.Command{Use: use, Short: o.about, Args: args, RunE: func(c *cobra.Command,
			args []string) error {
			if len(args) > 0 {
				order.Engine = args[0]
			}
			data, err := json.Marshal(order)
			if err != nil {
				return err
			}
			answer, err := client.Post("http://"+at+planapi.OrderPath, "application/json",
				bytes.NewReader(data))
			if err != nil {
				return err
			}
			defer answer.Body.Close()
			text, _ := io.ReadAll(io.LimitReader(answer.Body, 1<<16))
			if answer.StatusCode != http.StatusOK {
				return errors.New("refused: " + strings.TrimSpace(string(text)))
			}
			if order.DryRun {
				fmt.Fprint(c.OutOrStdout(), "nothing is changed; it would be: ")
			}
			fmt.Fprint(c.OutOrStdout(), string(text))
			return nil
		}}
		sub.Flags().StringVar(&order.Operator, "who", os.Getenv("USER"), "who orders it")
		sub.Flags().StringVar(&order.Reason, "why", "", "why, for whoever reads it later")
		sub.Flags().BoolVar(&order.DryRun, "dry-run", false, "only say what would be done, or why not")
		sub.MarkFlagRequired("why")
		c.AddCommand(sub)
	}
	return c
}

func printRoles(w io.Writer, s planner.Status) {
	note := ""
	if s.Deposed {
		note = "; DEPOSED by a later planner"
	}
	if s.SaveFailing {
		note += "; STUCK: its store cannot be written"
	}
	fmt.Fprintf(w, "plan %d of term %d, %d edges follow%s\n", s.Number, s.Term, s.FollowingEdges, note)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "engine\trole\tepoch\tstate\tnext\topen\theld\theard\tnote")
	for _, e := range s.Engines {
		if !e.Listed {
			continue
		}
		heard := "never"
		if e.ReportedMsAgo >= 0 {
			heard = (time.Duration(e.ReportedMsAgo) * time.Millisecond).String()
		}
		note := ""
		if e.Pinned {
			note = "pinned, " + e.Reason
		} else if e.State == "aside" {
			note = e.Fault
		}
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%s\t%d\t%d\t%s\t%s\n", e.Engine, e.Role, e.Epoch, e.State, e.NextRole,
			e.Report.OpenRequests, e.Report.Reservations, heard, note)
	}
	t.Flush()
}

func explainDecision(w io.Writer, s planner.Status) {
	d := s.Decision
	fmt.Fprintf(w, "edges heard: %d of %d; engines changing: %d; stopped: %v\n", d.EdgesReporting, d.EdgesKnown,
		d.Changing, d.Stopped)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "role\tengines kept busy\tserving\ton their way\ttokens/s of one")
	for _, role := range []string{planapi.Prefill, planapi.Decode} {
		fmt.Fprintf(t, "%s\t%.2f\t%.1f\t%.1f\t%.0f\n", role, d.RequiredEngines[role], d.ServingEngines[role], d.IncomingEngines[role],
			d.Throughput[role])
	}
	fmt.Fprintln(t, "route\tarrivals/s\tread tokens\twritten tokens\tvalue")
	for _, f := range d.Mix {
		fmt.Fprintf(t, "%s\t%.2f\t%.0f\t%.0f\t%.2f\n", f.Route, f.Rate, f.PrefillTokens, f.DecodeTokens, f.Value)
	}
	t.Flush()
	for _, x := range d.Evaluations {
		engine := x.Engine
		if engine == "" {
			engine = "no engine"
		}
		fmt.Fprintf(w, "to %s, %s: gains %.2f of value a second, for %.0f s already and perhaps %.0f more; %.2f when the load turns, %.2f on "+
			"average; costs %.2f: %s\n", x.ToRole, engine, x.Gain, x.GainingSeconds, x.RemainingSeconds, x.ReversalLoss, x.MeanGain, x.Cost, x.Reason)
	}
}

func explainEngine(w io.Writer, e assignment.EngineView) {
	fmt.Fprintf(w, "%s: %s of epoch %d, %s since %s\n", e.Engine, e.Role, e.Epoch, e.State, time.Unix(0,
		e.StateSince).Format(time.TimeOnly))
	for _, line := range [][2]string{{"last order or change", e.Reason}, {"may not change now", e.IneligibleReason},
		{"trouble", e.Fault}} {
		if line[1] != "" {
			fmt.Fprintf(w, "  %s: %s\n", line[0], line[1])
		}
	}
	if e.NextRole != "" {
		fmt.Fprintf(w, "  on its way to %s of epoch %d\n", e.NextRole, e.NextEpoch)
	}
	fmt.Fprintf(w, "  it says: %s of epoch %d, open %d, held %d, kept %.0f tokens\n", e.Report.Role,
		e.Report.Epoch, e.Report.OpenRequests, e.Report.Reservations, e.Report.CachedTokens)
}
