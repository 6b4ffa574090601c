package modelcheck

import (
	"bytes"
	"errors"
	"reflect"
	"strings"
	"testing"

	"sandcourse/internal/config"
)

// reportViolations fails the test with the path to the violations of a result, if it has any.
func reportViolations(t *testing.T, r Result) {
	t.Helper()
	if len(r.Violations) > 0 {
		lines, _ := Describe(r.World, r.Path)
		t.Errorf("%s: %v\n%s", r.World.Name, r.Violations, strings.Join(lines, "\n"))
	}
}

// Exhaustive exploration of the small worlds and random walks in the large ones find no violation, and together fire
// nearly all transitions of the state machines.
func TestWorldsHaveNoViolations(t *testing.T) {
	var coverage Coverage
	for _, name := range []string{"one", "two", "limit", "abandon", "nodes-two", "roles", "roles-last", "roles-edges"} {
		w, _ := FindWorld(name)
		r := NewSnapshot(w).Explore(Limits{Workers: 4}, nil)
		reportViolations(t, r)
		if !r.Complete || r.TerminalStates == 0 {
			t.Errorf("%s: not complete: %+v", name, r)
		}
		coverage.Add(r.Coverage)
	}
	for _, w := range LargeWorlds {
		r := RandomWalks(w, 7, 300, 4, nil)
		reportViolations(t, r)
		coverage.Add(r.Coverage)
	}
	if fired, total := coverage.Fired(); fired < total-4 {
		t.Errorf("only %d of %d transitions fired; not fired: %v", fired, total, coverage.Unfired())
	}
}

// The result of an exploration depends neither on the number of workers nor on an interruption.
func TestResultDoesNotDependOnWorkersOrInterruption(t *testing.T) {
	w, _ := FindWorld("one")
	w.Faults = 1
	withOneWorker := NewSnapshot(w).Explore(Limits{Workers: 1}, nil)
	withFourWorkers := NewSnapshot(w).Explore(Limits{Workers: 4}, nil)
	stopped := NewSnapshot(w)
	stopped.Explore(Limits{Workers: 2, MaxDepth: 9}, nil)
	resumed := stopped.Explore(Limits{Workers: 3}, nil)
	if !reflect.DeepEqual(withOneWorker, withFourWorkers) || !reflect.DeepEqual(withOneWorker, resumed) || !withOneWorker.Complete {
		t.Errorf("%+v\n%+v\n%+v", withOneWorker, withFourWorkers, resumed)
	}
}

// A copy of a state must have the same continuations as the state: an exploration that copies states has the same counts and
// terminal states as one that replays every path.
func TestCopiedStatesMatchReplayedPaths(t *testing.T) {
	for _, name := range []string{"single", "limit", "nodes-two", "roles-one"} {
		w, _ := FindWorld(name)
		copied := NewSnapshot(w).Explore(Limits{Workers: 4}, nil)
		replayed := NewSnapshot(w).Explore(Limits{Workers: 4, ReplayPaths: true}, nil)
		if !reflect.DeepEqual(copied, replayed) || !copied.Complete {
			t.Errorf("%s: %+v\n%+v", name, copied, replayed)
		}
	}
}

// Events of different routers commute: exploration in router order finds the same terminal states as all interleavings.
func TestRouterOrderReductionIsComplete(t *testing.T) {
	for _, kinds := range [][]FaultKind{{FaultDrain}, {FaultRestart, FaultReset}, {FaultDisconnect, FaultNoCapacity, FaultDelay}} {
		w := World{Name: "nodes", PrefillEngines: 1, DecodeEngines: 1, Effects: []config.Effect{config.EffectNonRetriable}, Faults: 1, Routers: 2, FaultKinds: kinds}
		reduced := NewSnapshot(w).Explore(Limits{Workers: 4}, nil)
		w.AllInterleavings = true
		full := NewSnapshot(w).Explore(Limits{Workers: 4}, nil)
		reportViolations(t, reduced)
		reportViolations(t, full)
		if reduced.TerminalStatesChecksum != full.TerminalStatesChecksum || reduced.TerminalStates != full.TerminalStates || !full.Complete || full.TerminalStates < 5 ||
			reduced.Transitions >= full.Transitions {
			t.Errorf("%v: %+v\n%+v", kinds, reduced, full)
		}
	}
}

// Fleets of 1 to 300 routers do send attempts to a warming engine, but stay within its slow-start budget.
func TestCrowdsStayWithinSlowStartBudget(t *testing.T) {
	for _, w := range CrowdWorlds {
		r := SimulateCrowd(w, 7, nil)
		if len(r.Violations) > 0 || r.MaxColdAttempts < 5 {
			t.Errorf("%s: violations %v, at most %d attempts in a window", w.Name, r.Violations, r.MaxColdAttempts)
		}
	}
}

// Merging equal states must not lose terminal states: all paths of a small world have several outcomes and no violation.
func TestMergingStatesIsComplete(t *testing.T) {
	w := World{Name: "tiny", PrefillEngines: 1, DecodeEngines: 1, Effects: []config.Effect{config.EffectNonRetriable}, Faults: 1,
		FaultKinds: []FaultKind{FaultReset, FaultNoCapacity, FaultDisconnect, FaultConnect}}
	merged := NewSnapshot(w).Explore(Limits{Workers: 4}, nil)
	outcomes := map[string]bool{}
	terminalPaths := 0
	var explorePath func(path Path)
	explorePath = func(path Path) {
		s, _ := replayPath(w, path, false)
		if len(s.violations()) > 0 {
			t.Fatalf("%v at %v", s.violations(), path)
		}
		n := len(s.enabledEvents())
		if n == 0 {
			s.checkTerminal()
			terminalPaths++
			outcomes[s.clientOutcomes()[0]] = true
			return
		}
		for i := range n {
			explorePath(append(path[:len(path):len(path)], uint8(i)))
		}
	}
	explorePath(nil)
	if !merged.Complete || merged.TerminalStates == 0 || terminalPaths < merged.TerminalStates || len(outcomes) < 3 {
		t.Errorf("%d terminal paths without merging, %d terminal states with merging, outcomes %v", terminalPaths, merged.TerminalStates, outcomes)
	}
}

// Describe lists the steps of a path, and a path that does not exist in the world is reported as ErrPathMismatch.
func TestDescribeListsSteps(t *testing.T) {
	w, _ := FindWorld("one")
	r := Result{World: w, Path: Path{0, 0}}
	lines, violations := Describe(w, r.Path)
	if len(violations) > 0 || len(lines) < 4 || !strings.Contains(lines[1], "client 0 sends") {
		t.Errorf("%v %v", lines, violations)
	}
	if lines, _ := Describe(w, Path{200}); lines[len(lines)-1] != ErrPathMismatch.Error() {
		t.Error(lines)
	}
	if _, _, err := TraceSteps(w, Path{200}); !errors.Is(err, ErrPathMismatch) {
		t.Error(err)
	}
}

// The counterexamples of fixed violations no longer violate a property. Each name lists the violated properties and the cause.
func TestFixedCounterexamplesHaveNoViolations(t *testing.T) {
	for name, events := range map[string][]string{
		"P5, P3: an attempt is canceled as not written after the kernel has accepted all of it": {"client 0 sends a request (non-retriable)", "connection to 127.0.0.1:1001 is established and accepts part of the request",
			"the rest of the request to 127.0.0.1:1001 is sent", "client 0 disconnects"},
		"P5: the reservation of a lost prefill is held until the request ends": {"client 0 sends a request (non-retriable)", "connection to 127.0.0.1:1001 is established",
			"prefill of n-1-1 at 127.0.0.1:1001 completes, and its response is truncated"},
		"P5: the policy keeps a reservation up to its limit and the release then hangs": {"client 0 sends a request (non-retriable)",
			"connection to 127.0.0.1:1001 is established", "the endpoint list marks 127.0.0.1:2001 as draining", "prefill of n-1-1 at 127.0.0.1:1001 completes"},
	} {
		t.Run(name, func(t *testing.T) {
			w, _ := FindWorld("one")
			s := newSimulation(w, true)
			for _, want := range events {
				found := false
				for _, e := range s.enabledEvents() {
					if e.Name == want && !found {
						found = true
						s.apply(e)
					}
				}
				if !found {
					t.Fatalf("%q is not enabled after %v", want, s.trace)
				}
			}
			// From this state on, only the first enabled event is applied, which is never a fault.
			for range 300 {
				list := s.enabledEvents()
				if len(list) == 0 {
					s.checkTerminal()
					break
				}
				s.apply(list[0])
			}
			if len(s.violationLog.texts) > 0 || len(s.enabledEvents()) > 0 {
				t.Errorf("%v after\n%s", s.violationLog, strings.Join(s.trace, "\n"))
			}
		})
	}
}

// An exploration that is resumed from a stored snapshot has the same result as an uninterrupted one.
func TestStoredSnapshotResumesToSameResult(t *testing.T) {
	w, _ := FindWorld("single")
	want := NewSnapshot(w).Explore(Limits{Workers: 4}, nil)
	stopped := NewSnapshot(w)
	stopped.Explore(Limits{Workers: 4, MaxDepth: 9}, nil)
	var file bytes.Buffer
	if err := stopped.Encode(&file); err != nil {
		t.Fatal(err)
	}
	restored, err := DecodeSnapshot(&file)
	if err != nil {
		t.Fatal(err)
	}
	if got := restored.Explore(Limits{Workers: 4}, nil); !reflect.DeepEqual(got, want) {
		t.Errorf("%+v\n%+v", got, want)
	}
	if _, err := DecodeSnapshot(strings.NewReader("x")); err == nil {
		t.Error("DecodeSnapshot accepts an invalid file")
	}
	file.Reset()
	if err := (&Snapshot{World: w, Visited: map[uint64]struct{}{1: {}}}).Encode(&file); err != nil {
		t.Fatal(err)
	}
	if _, err := DecodeSnapshot(&file); !errors.Is(err, ErrNoFrontier) {
		t.Errorf("snapshot without a frontier: %v", err)
	}
}
