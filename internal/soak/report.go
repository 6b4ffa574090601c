package soak

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"sandcourse/internal/audit"
)

// Report is the result of a run.
type Report struct {
	Seed           uint64
	Violations     []string       // broken rules, crashes, edges that do not serve again
	Traces         []string       // of the requests concerned
	Responses      map[string]int // by status, and of the other clients by kind
	InjectedFaults []string       // each with its time
	Requests       int
	// Unanswered is the number of requests without a response at edges that were shutting down, which are no violation by
	// themselves.
	Unanswered int
	Folder     string // of the logs, where a violation was found
}

// What the protocol and a machine that runs dozens of processes may add to the durations of the rules.
const (
	tolerance     = 700 * time.Millisecond
	listTolerance = 300 * time.Millisecond
)

// report checks the records of the run, and removes its folder where there is no violation.
func (r *soakRun) report() Report {
	out := Report{Seed: r.config.Seed, Violations: r.violations, Responses: r.responses, InjectedFaults: r.injectedFaults,
		Requests: len(r.log.ClientRecords()), Unanswered: len(r.unanswered), Folder: r.folder}
	out.Violations = append(out.Violations, r.checkUnanswered()...)
	out.Violations = append(out.Violations, r.checkDeduplication()...)
	rules := audit.Rules{NonRetriable: map[string]bool{string(classAlert): true}, DrainGrace: drainGrace, ListDelay: listTolerance,
		ReservationLimit: reservationLimit, Tolerance: tolerance}
	for _, v := range r.log.Check(rules, time.Now()) {
		out.Violations = append(out.Violations, v.String())
		if v.RequestID != "" {
			out.Traces = append(out.Traces, v.String()+"\n\t"+strings.Join(r.log.Trace(v.RequestID), "\n\t"))
		}
	}
	if len(out.Violations) == 0 {
		os.RemoveAll(r.folder)
		out.Folder = ""
	}
	return out
}

// checkUnanswered looks for requests that an edge forwarded before it shut down, and never answered.
func (r *soakRun) checkUnanswered() (violations []string) {
	forwarded := map[string]bool{}
	for _, s := range r.log.EngineRecords() {
		if s.Event == audit.AttemptStarted {
			forwarded[s.RequestID] = true
		}
	}
	for _, c := range r.unanswered {
		if forwarded[c.RequestID] {
			violations = append(violations, fmt.Sprintf("rule 1: %s was sent on by %s, which was told to end, and has no answer", c.RequestID, c.Edge))
		}
	}
	return violations
}

// checkDeduplication looks for idempotent requests that were executed again after the deduplication window of the first.
func (r *soakRun) checkDeduplication() (violations []string) {
	class := map[string]requestClass{}
	for _, c := range r.log.ClientRecords() {
		class[c.RequestID] = requestClass(c.Route)
	}
	first := map[string]time.Time{}
	for _, s := range r.log.EngineRecords() {
		if s.Event != audit.Executed || class[s.RequestID] != classLabel {
			continue
		}
		if at, ran := first[s.RequestID]; ran && s.At.Sub(at) > deduplicationWindow {
			violations = append(violations, fmt.Sprintf("rule 2: %s ran again after %v, engines remember for %v",
				s.RequestID, s.At.Sub(at), deduplicationWindow))
		} else if !ran {
			first[s.RequestID] = s.At
		}
	}
	return violations
}

// String returns the report as text.
func (r Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d calls, %d troubles, %d faults, %d calls without an answer at nodes that ended;", r.Seed, r.Requests,
		len(r.InjectedFaults), len(r.Violations), r.Unanswered)
	for _, kind := range slices.Sorted(maps.Keys(r.Responses)) {
		fmt.Fprintf(&b, " %s: %d", kind, r.Responses[kind])
	}
	b.WriteString("\n")
	for _, v := range r.Violations {
		fmt.Fprintf(&b, "  FAULT %s\n", v)
	}
	for _, trace := range r.Traces {
		fmt.Fprintf(&b, "  %s\n", trace)
	}
	if len(r.Violations) > 0 {
		for _, fault := range r.InjectedFaults {
			fmt.Fprintf(&b, "  trouble %s\n", fault)
		}
		fmt.Fprintf(&b, "  logs in %s\n", r.Folder)
	}
	return b.String()
}
