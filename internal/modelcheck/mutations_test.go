package modelcheck_test

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// mutation is a deliberate defect: it replaces the text old with new in a file. The model checker must find a violation of
// one of the properties in the world.
type mutation struct {
	name, file, old, new, world, properties string
}

// mutations are applied through a build overlay, so released binaries do not contain them.
var mutations = []mutation{
	{"an attempt whose connection breaks counts as not run", "internal/attempt/transitions.go",
		"{from: []State{AwaitingResponse, Responding, Streaming}, event: ConnectionReset, next: Ended,\n\t\tverdict: routing.ConnectionLost",
		"{from: []State{AwaitingResponse, Responding, Streaming}, event: ConnectionReset, next: Ended,\n\t\tverdict: routing.NotConnected", "one", "P3 P11"},
	{"a failing status counts as not run", "internal/attempt/transitions.go", "event: ErrorStatus, next: Ended, verdict: routing.EngineError",
		"event: ErrorStatus, next: Ended, verdict: routing.Full", "one", "P3 P11"},
	{"a rejection counts as a run", "internal/attempt/transitions.go", "event: Rejected, next: Ended, verdict: routing.Full",
		"event: Rejected, next: Ended, verdict: routing.EngineError", "one", "P11"},
	{"a partly written request counts as a run", "internal/attempt/transitions.go",
		"{from: []State{Writing}, event: ConnectionReset, next: Ended, verdict: routing.NotConnected, connection: MustClose}",
		"{from: []State{Writing}, event: ConnectionReset, next: Ended, verdict: routing.ConnectionLost, connection: MustClose}", "one", "P11"},
	{"a missing reservation counts as a run", "internal/attempt/transitions.go", "event: ReservationNotFound, next: Ended, verdict: routing.Full",
		"event: ReservationNotFound, next: Ended, verdict: routing.Completed", "one", "P1 P5 P9 P10 P11"},
	{"a lost prefill leaves no reservation", "internal/attempt/transitions.go", "\t\tverdict: routing.ConnectionLost, connection: MustClose, mayLeaveReservation: true},",
		"\t\tverdict: routing.ConnectionLost, connection: MustClose},", "one", "P5 P9 P10"},
	{"a canceled prefill leaves no reservation", "internal/attempt/transitions.go", "verdict: routing.Canceled, connection: MustClose, mayLeaveReservation: true}",
		"verdict: routing.Canceled, connection: MustClose}", "one", "P5 P9 P10"},
	{"the drain check never blocks", "internal/invariant/gates.go", "spare >= 0 && time.Duration(now-notifiedAt) <= spare/2", "spare < 1<<62", "one", "P7"},
	{"the drain check blocks late", "internal/invariant/gates.go", "spare >= 0 && time.Duration(now-notifiedAt) <= spare/2", "time.Duration(now-notifiedAt) <= 3*grace+0*spare", "one", "P7"},
	{"a stalled stream never times out", "internal/router/stalled_streams.go", "return last + int64(r.config.StallTimeout) + 1", "return math.MaxInt64 + 0*last", "single", "P9 P10"},
	{"the end of a response is sent twice", "internal/router/request_outcomes.go", "\t\tr.write(client, last)",
		"\t\tr.write(client, append(last[:len(last)-5:len(last)-5], last...))", "one", "P1"},
	{"the connection of a canceled attempt stays open", "internal/router/attempts.go", "case result.Connection == attempt.MustClose:", "case result.Connection == attempt.MustClose && event != attempt.Canceled:",
		"one", "P2 P5 P6 P8 P9 P10"},
	{"unread bytes of a response are ignored", "internal/router/engine_responses.go", "if !reusable {", "if false {", "two", "P8"},
	{"a connection in use counts as idle", "internal/connpool/state.go", "{[]State{Idle}, Acquired, Busy, NoAction}", "{[]State{Idle}, Acquired, Idle, NoAction}",
		"two", "P8 P12"},
	{"a busy connection is reused", "internal/connpool/pool.go", "\t\tc.engine.idle = withoutConnection(c.engine.idle, c)\n", "", "two", "P8"},
	{"a release is sent to no engine", "internal/router/reservations.go", "range r.releaseTargets(reserved, first) {", "range r.releaseTargets(reserved, first)[:0] {", "one", "P5 P9 P10"},
	{"the reservation of a lost prefill is held until the request ends", "internal/router/reservations.go", "r.addReservation(att, reservation.PrefillLost)",
		"_ = att.index", "one", "P5 P9 P10"},
	{"a release before the end of an abandoned attempt counts as the last", "internal/router/abandoned_attempts.go",
		"req.mayStillRunUntil = max(req.mayStillRunUntil, att.mayRunUntil)", "req.mayStillRunUntil = 0", "abandon", "P5 P9 P10"},
	{"a release is not retried", "internal/reservation/release.go", "t.setDue(r, now+int64(t.backoff(r.unacknowledgedCount)))", "t.setDue(r, now+1<<50)", "one", "P5 P9 P10"},
	{"a control request never times out", "internal/router/connection_timeouts.go", "if conn.control != nil {", "if false {", "one", "P5 P9 P10"},
	{"a broken stream is not reported", "internal/router/attempts.go", "r.finishRequest(att.request, OutcomeErrored, reasonStreamBroken+FailureReason(att.reason))", "_ = att.reason", "single", "P1 P9 P10"},
	{"a stream ends without an error", "internal/router/request_outcomes.go", "\t\tr.write(client, last)", "\t\tr.write(client, last[len(last)-5:])", "single", "P1"},
	{"finished requests are not forgotten", "internal/router/policy.go", "\t\tfor _, req := range r.requests.justFinished {\n\t\t\tr.removeIfFinished(req)\n\t\t}", "", "single", "P9 P10"},
	{"a stream goes on after its client disconnected", "internal/router/request_outcomes.go", "r.handleAttemptEvent(att, attempt.Canceled, reasonClientDisconnected)", "_, _ = att, attempt.Canceled", "single", "P6 P9 P10"},
	{"the complete write of a request is ignored", "internal/router/attempts.go", "conn.socket.RequestWritten() {\n\t\t\tr.transition", "false {\n\t\t\tr.transition", "one", "P3 P5 P9 P10 P11"},
	{"a request that may have run is retried", "internal/routing/retry.go", "\t\tif att.neverRan || !att.decode {\n\t\t\tcontinue\n\t\t}", "\t\tif true {\n\t\t\tcontinue\n\t\t}", "pair", "P3"},
	{"a request that may have run is shed", "internal/routing/retry.go", "if mayShed || !ran {", "if true || mayShed || !ran {", "one", "P3"},
	{"the timer for the timeout is missing", "internal/routing/policy.go", "p.startTimer(req.RequestID, deadlineNear,", "p.startTimer(req.RequestID, noTrigger,", "one", "P4 P9 P10"},
	{"the final response is late", "internal/routing/retry.go", "return 3 * p.config.Tick", "return -60 * p.config.Tick", "one", "P4 P5"},
	{"reservations are held past their limit", "internal/config/routing.go", "d.Rules.ReservationLimit * 5 / 8", "d.Rules.ReservationLimit * 4", "one", "P5"},
	{"reservations are not released at the end", "internal/routing/retry.go", "\tp.emit(Release{req.RequestID})\n\treturn noTrigger", "\treturn noTrigger", "one", "P5 P9 P10"},
	{"every router may use the slow-start budget", "internal/routing/slowstart.go", "math.Mod(float64(p.config.Node)+firstNode, nodes) < fraction*nodes/7.5", "firstNode+fraction >= 0", "crowd-300", "P14"},
	{"the slow-start budget is six times as large", "internal/routing/slowstart.go", "budget := 1.2 *", "budget := 6 * 1.2 *", "crowd-300", "P14"},
	{"a router rejects too early", "internal/admission/admit.go", "ct.openRequests >= ct.limits.OpenRequests", "ct.openRequests+1 >= ct.limits.OpenRequests", "limit", "P13"},
	{"an order is sent before it is persisted", "internal/planner/assignment/output.go", "return append(actions, out.actions...)", "return append(out.actions, actions...)", "roles-one", "R6"},
	{"a role is accepted without a trial", "internal/planner/assignment/transitions.go", "roleReported, InTrial, (*Controller).startTrial", "roleReported, WarmingUp, (*Controller).adoptRole", "roles-one", "R1 R2"},
	{"a rollback keeps the epoch", "internal/planner/assignment/transitions.go", "max(engine.Epoch, engine.NextEpoch, engine.report.Epoch)+1, c.now", "max(engine.Epoch, 1), c.now", "roles-one", "R1 R2 R7"},
	{"a drain never times out", "internal/planner/assignment/transitions.go", "case Draining:\n\t\treturn c.config.DrainTimeout", "case Draining:\n\t\treturn 0", "roles", "R7"},
	{"a load never times out", "internal/planner/assignment/transitions.go", "case Loading, RollingBack:\n\t\treturn c.config.LoadTimeout", "case Loading, RollingBack:\n\t\treturn 0", "roles-one", "R7"},
	{"the order that ends a drain is not repeated after a loss", "internal/planner/assignment/report.go", "case report.Draining: // the", "case false: // the", "roles", "R7"},
	{"the minimum of serving engines is not checked", "internal/planner/assignment/eligibility.go", "return c.checkRemainingEngines(engine)", "return \"\"", "roles-last", "R3"},
	{"an engine that changes its role stays in the plan", "internal/planner/assignment/plan.go", "case Ordered, Loading, RollingBack, InTrial, Quarantined:\n\t\t\tcontinue",
		"case Quarantined:\n\t\t\tcontinue", "roles-one", "R8"},
	{"a restarted planner forgets its records", "internal/planner/assignment/controller.go", "c.engines.byAddress[record.Engine] = &engineRecord{Record: record, roleKnown: true, changeStartedAt: record.StateSince}", "c.engines.byAddress[record.Engine] = &engineRecord{Record: Record{Engine: record.Engine, Role: record.Role}, roleKnown: true, changeStartedAt: record.StateSince}", "roles", "R1 R2 R4 R5 R6 R7 R8"},
	{"an engine that reports another role is accepted in the old one", "internal/planner/assignment/report.go", "holdsCurrentRole := report.Epoch == engine.Epoch && report.Role == engine.Role && !report.Changing",
		"holdsCurrentRole := !report.Changing", "roles", "R1 R2 R7"},
}

// moduleRoot returns the directory to which the file names of mutations are relative.
func moduleRoot(t *testing.T) string {
	t.Helper()
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	return root
}

// Every mutation must find the text that it replaces. This check is fast, so that a change of the source is noticed without
// the full run of mutations.
func TestMutationsMatchSource(t *testing.T) {
	root := moduleRoot(t)
	for _, m := range mutations {
		text, err := os.ReadFile(filepath.Join(root, m.file))
		if err != nil {
			t.Error(err)
			continue
		}
		if !strings.Contains(string(text), m.old) {
			t.Errorf("%s: %s no longer contains %q", m.name, m.file, m.old)
		}
	}
}

// The model checker must catch each mutation by one of its properties. The builds of all mutations take minutes, so only
// three are tested unless SANDCOURSE_MUTATIONS=all.
func TestMutationsAreCaught(t *testing.T) {
	root := moduleRoot(t)
	list := mutations
	if os.Getenv("SANDCOURSE_MUTATIONS") != "all" {
		list = []mutation{mutations[0], mutations[6], mutations[len(mutations)-6]}
	}
	for _, m := range list {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			out, err := exec.Command(m.build(t, root), "prove", m.world, "--workers", "2", "--for", "40s").Output()
			if err == nil {
				t.Fatalf("not caught in world %s", m.world)
			}
			_, violation, _ := strings.Cut(string(out), "BROKEN ")
			violation, _, _ = strings.Cut(violation, "\n")
			property, _, _ := strings.Cut(violation, " ")
			if !strings.Contains(" "+m.properties+" ", " "+property+" ") {
				t.Errorf("caught by %q, not by one of %s", violation, m.properties)
			}
			t.Logf("%s after about %d steps: %s", m.name, strings.Count(string(out), ". "), violation)
		})
	}
}

// buildOverlay is the content of the file for the -overlay flag of go build.
type buildOverlay struct{ Replace map[string]string }

// build builds the program with the mutation, and returns its path.
func (m mutation) build(t *testing.T, root string) (program string) {
	t.Helper()
	dir := t.TempDir()
	path := filepath.Join(root, m.file)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(text), m.old) {
		t.Fatalf("%s no longer contains %q", m.file, m.old)
	}
	changed, overlayFile := filepath.Join(dir, "changed.go"), filepath.Join(dir, "overlay.json")
	if err := os.WriteFile(changed, []byte(strings.ReplaceAll(string(text), m.old, m.new)), 0o644); err != nil {
		t.Fatal(err)
	}
	overlay, err := json.Marshal(buildOverlay{Replace: map[string]string{path: changed}})
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(overlayFile, overlay, 0o644); err != nil {
		t.Fatal(err)
	}
	program = filepath.Join(dir, "sandcourse")
	build := exec.Command("go", "build", "-overlay", overlayFile, "-o", program, "./cmd/sandcourse")
	build.Dir = root
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build failed: %s", out)
	}
	return program
}
