package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"sandcourse/internal/planner"
	"sandcourse/internal/planner/assignment"
	"sandcourse/internal/planner/planapi"
)

// printRoles prints a line for each engine of the endpoint list.
func printRoles(out io.Writer, status planner.Status) {
	note := ""
	if status.Deposed {
		note = "; DEPOSED by a later planner"
	}
	if status.SaveFailing {
		note += "; STUCK: its store cannot be written"
	}
	fmt.Fprintf(out, "plan %d of term %d, %d edges follow%s\n", status.Number, status.Term, status.FollowingEdges, note)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "engine\trole\tepoch\tstate\tnext\topen\theld\theard\tnote")
	for _, e := range status.Engines {
		if e.Listed {
			fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\t%d\t%d\t%s\t%s\n", e.Engine, e.Role, e.Epoch, e.State, e.NextRole,
				e.Report.OpenRequests, e.Report.Reservations, sinceReport(e), engineNote(e))
		}
	}
	table.Flush()
}

// sinceReport is how long ago an engine reported its role.
func sinceReport(e assignment.EngineView) string {
	if e.ReportedMsAgo < 0 {
		return "never"
	}
	return (time.Duration(e.ReportedMsAgo) * time.Millisecond).String()
}

// engineNote is why an engine is pinned, or out of the plan.
func engineNote(e assignment.EngineView) string {
	switch {
	case e.Pinned:
		return "pinned, " + e.Reason
	case e.State == assignment.Quarantined:
		return e.Fault
	}
	return ""
}

// explainDecision prints what the planner weighed last.
func explainDecision(out io.Writer, d assignment.Decision) {
	fmt.Fprintf(out, "edges heard: %d of %d; engines changing: %d; stopped: %v\n", d.EdgesReporting, d.EdgesKnown, d.Changing, d.Stopped)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "role\tengines kept busy\tserving\ton their way\ttokens/s of one")
	for _, role := range []string{planapi.Prefill, planapi.Decode} {
		fmt.Fprintf(table, "%s\t%.2f\t%.1f\t%.1f\t%.0f\n", role, d.RequiredEngines[role], d.ServingEngines[role], d.IncomingEngines[role], d.Throughput[role])
	}
	fmt.Fprintln(table, "route\tarrivals/s\tread tokens\twritten tokens\tvalue")
	for _, f := range d.Mix {
		fmt.Fprintf(table, "%s\t%.2f\t%.0f\t%.0f\t%.2f\n", f.Route, f.Rate, f.PrefillTokens, f.DecodeTokens, f.Value)
	}
	table.Flush()
	for _, x := range d.Evaluations {
		engine := x.Engine
		if engine == "" {
			engine = "no engine"
		}
		fmt.Fprintf(out, "to %s, %s: gains %.2f of value a second, for %.0f s already and perhaps %.0f more; %.2f when the load turns, "+
			"%.2f on average; costs %.2f: %s\n", x.ToRole, engine, x.Gain, x.GainingSeconds, x.RemainingSeconds, x.ReversalLoss, x.MeanGain, x.Cost, x.Reason)
	}
}

// explainEngine prints an engine's role and state, and why they are so.
func explainEngine(out io.Writer, e assignment.EngineView) {
	fmt.Fprintf(out, "%s: %s of epoch %d, %s since %s\n", e.Engine, e.Role, e.Epoch, e.State,
		time.Unix(0, e.StateSince).Format(time.TimeOnly))
	printIfSet(out, "last order or change", e.Reason)
	printIfSet(out, "may not change now", string(e.IneligibleReason))
	printIfSet(out, "trouble", e.Fault)
	if e.NextRole != "" {
		fmt.Fprintf(out, "  on its way to %s of epoch %d\n", e.NextRole, e.NextEpoch)
	}
	fmt.Fprintf(out, "  it says: %s of epoch %d, open %d, held %d, kept %.0f tokens\n", e.Report.Role, e.Report.Epoch, e.Report.OpenRequests,
		e.Report.Reservations, e.Report.CachedTokens)
}

func printIfSet(out io.Writer, label, text string) {
	if text != "" {
		fmt.Fprintf(out, "  %s: %s\n", label, text)
	}
}
