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
		note = "; DEPOSED by a planner with a later term"
	}
	if status.SaveFailing {
		note += "; STUCK: the planner cannot write its store"
	}
	fmt.Fprintf(out, "plan %d of term %d, followed by %d edges%s\n", status.Number, status.Term, status.FollowingEdges, note)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "engine\trole\tepoch\tstate\tnext role\topen requests\treservations\tlast report\tnote")
	for _, e := range status.Engines {
		if e.Listed {
			fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\t%d\t%d\t%s\t%s\n", e.Engine, e.Role, e.Epoch, e.State, e.NextRole,
				e.Report.OpenRequests, e.Report.Reservations, reportAge(e), engineNote(e))
		}
	}
	table.Flush()
}

// reportAge returns how long ago an engine last reported its role.
func reportAge(e assignment.EngineView) string {
	if e.ReportedMsAgo < 0 {
		return "never"
	}
	return (time.Duration(e.ReportedMsAgo) * time.Millisecond).String()
}

// engineNote returns why an engine is pinned or quarantined, or an empty string for other engines.
func engineNote(e assignment.EngineView) string {
	switch {
	case e.Pinned:
		return "pinned, " + e.Reason
	case e.State == assignment.Quarantined:
		return e.Fault
	}
	return ""
}

// explainDecision prints the last decision of the planner with the figures that led to it.
func explainDecision(out io.Writer, d assignment.Decision) {
	fmt.Fprintf(out, "edges reporting: %d of %d; engines changing role: %d; role changes stopped: %v\n",
		d.EdgesReporting, d.EdgesKnown, d.Changing, d.Stopped)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "role\tengines required\tserving\tchanging to role\ttokens/s per engine")
	for _, role := range []string{planapi.Prefill, planapi.Decode} {
		fmt.Fprintf(table, "%s\t%.2f\t%.1f\t%.1f\t%.0f\n", role,
			d.RequiredEngines[role], d.ServingEngines[role], d.IncomingEngines[role], d.Throughput[role])
	}
	fmt.Fprintln(table, "route\trequests/s\tprefill tokens\tdecode tokens\tvalue")
	for _, flow := range d.Mix {
		fmt.Fprintf(table, "%s\t%.2f\t%.0f\t%.0f\t%.2f\n", flow.Route, flow.Rate, flow.PrefillTokens, flow.DecodeTokens, flow.Value)
	}
	table.Flush()
	for _, evaluation := range d.Evaluations {
		engine := evaluation.Engine
		if engine == "" {
			engine = "no engine"
		}
		fmt.Fprintf(out, "to %s, %s: gains %.2f value/s, for %.0f s so far and an expected %.0f s more; gains %.2f if the load shifts back, "+
			"%.2f on average; costs %.2f of value: %s\n", evaluation.ToRole, engine, evaluation.Gain, evaluation.GainingSeconds,
			evaluation.RemainingSeconds, evaluation.ReversalLoss, evaluation.MeanGain, evaluation.Cost, evaluation.Reason)
	}
}

// explainEngine prints the role and state of an engine and the reasons for them.
func explainEngine(out io.Writer, e assignment.EngineView) {
	fmt.Fprintf(out, "%s: role %s, epoch %d, %s since %s\n", e.Engine, e.Role, e.Epoch, e.State,
		time.Unix(0, e.StateSince).Format(time.TimeOnly))
	printIfSet(out, "reason for the last order or change", e.Reason)
	printIfSet(out, "cannot change role now", string(e.IneligibleReason))
	printIfSet(out, "trouble", e.Fault)
	if e.NextRole != "" {
		fmt.Fprintf(out, "  changing to role %s, epoch %d\n", e.NextRole, e.NextEpoch)
	}
	fmt.Fprintf(out, "  last report: role %s, epoch %d, %d open requests, %d reservations, %.0f cached tokens\n",
		e.Report.Role, e.Report.Epoch, e.Report.OpenRequests, e.Report.Reservations, e.Report.CachedTokens)
}

func printIfSet(out io.Writer, label, text string) {
	if text != "" {
		fmt.Fprintf(out, "  %s: %s\n", label, text)
	}
}
