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
	Violations     []string       // violated rules, crashes and edges that did not recover
	Traces         []string       // traces of the requests that violated a rule
	Responses      map[string]int // counts of responses by status or, for partial and pipelined requests, by kind
	InjectedFaults []string       // descriptions of the faults, with their start times
	Requests       int
	// Unanswered is the number of requests without a response from an edge that was shutting down. Such a request is a violation
	// only if the edge had forwarded it.
	Unanswered int
	MostMemory int    // largest memory of an edge, in bytes
	Folder     string // folder of the logs; empty without violations
}

// Allowances that are added to the durations of the rules, because the protocol and a machine that runs dozens of processes
// cause delays.
const (
	tolerance     = 700 * time.Millisecond
	listTolerance = 300 * time.Millisecond
)

// report checks the records of the run and removes the run's folder if there is no violation.
func (r *soakRun) report() Report {
	out := Report{Seed: r.config.Seed, Violations: r.violations, Responses: r.responses, InjectedFaults: r.injectedFaults,
		Requests: len(r.log.ClientRecords()), Unanswered: len(r.unanswered),
		MostMemory: r.mostMemory, Folder: r.folder}
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

// checkUnanswered returns a violation for each request that an edge forwarded before it shut down and did not respond to.
func (r *soakRun) checkUnanswered() (violations []string) {
	forwarded := map[string]bool{}
	for _, record := range r.log.EngineRecords() {
		if record.Event == audit.AttemptStarted {
			forwarded[record.RequestID] = true
		}
	}
	for _, c := range r.unanswered {
		if forwarded[c.RequestID] {
			violations = append(violations, fmt.Sprintf("rule 1: %s was forwarded by %s, which then shut down without a response", c.RequestID, c.Edge))
		}
	}
	return violations
}

// checkDeduplication returns a violation for each execution of a deduplicated request after the dedup window of the first.
func (r *soakRun) checkDeduplication() (violations []string) {
	classes := map[string]requestClass{}
	for _, c := range r.log.ClientRecords() {
		classes[c.RequestID] = requestClass(c.Route)
	}
	firstExecutions := map[string]time.Time{}
	for _, record := range r.log.EngineRecords() {
		if record.Event != audit.Executed || classes[record.RequestID] != classLabel {
			continue
		}
		if firstAt, executed := firstExecutions[record.RequestID]; executed && record.At.Sub(firstAt) > deduplicationWindow {
			violations = append(violations, fmt.Sprintf("rule 2: %s was executed again after %v; the dedup window is %v",
				record.RequestID, record.At.Sub(firstAt), deduplicationWindow))
		} else if !executed {
			firstExecutions[record.RequestID] = record.At
		}
	}
	return violations
}

// String returns the report as text.
func (r Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d requests, %d injected faults, %d violations, %d requests without a response at edges that shut down, at most %d MiB;", r.Seed,
		r.Requests, len(r.InjectedFaults), len(r.Violations), r.Unanswered, r.MostMemory>>20)
	for _, kind := range slices.Sorted(maps.Keys(r.Responses)) {
		fmt.Fprintf(&b, " %s: %d", kind, r.Responses[kind])
	}
	b.WriteString("\n")
	for _, v := range r.Violations {
		fmt.Fprintf(&b, "  VIOLATION %s\n", v)
	}
	for _, trace := range r.Traces {
		fmt.Fprintf(&b, "  %s\n", trace)
	}
	if len(r.Violations) > 0 {
		for _, fault := range r.InjectedFaults {
			fmt.Fprintf(&b, "  injected fault %s\n", fault)
		}
		fmt.Fprintf(&b, "  logs in %s\n", r.Folder)
	}
	return b.String()
}
