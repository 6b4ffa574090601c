package modelcheck

import (
	"bytes"
	"errors"
	"reflect"
	"strings"
	"testing"

	"sandcourse/internal/config"
)

// reportViolations fails a test with the path to a violation.
func reportViolations(t *testing.T, r Result) {
	t.Helper()
	if len(r.Violations) > 0 {
		lines, _ := Describe(r.World, r.Path)
		t.Errorf("%s: %v\n%s", r.World.Name, r.Violations, strings.Join(lines, "\n"))
	}
}

// The small worlds hold all properties, explored exhaustively, and large ones on random walks; together they cover the
// transitions of the state machines.
func TestSmallWorldsHold(t *testing.T) {
	var coverage Coverage
	for _, name := range []string{"one", "two", "limit", "nodes-two", "roles", "roles-last", "roles-edges"} {
		w, _ := FindWorld(name)
		r := NewSnapshot(w).Explore(Limits{Workers: 4}, nil)
		reportViolations(t, r)
		if !r.Complete || r.Ends == 0 {
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
		t.Errorf("only %d of %d transitions fired; never: %v", fired, total, coverage.Unfired())
	}
}

// The verdict, the counterexample and the counts depend neither on the number of workers nor on an interruption.
func TestResultIndependentOfWorkersAndInterruption(t *testing.T) {
	w, _ := FindWorld("one")
	w.Faults = 1
	one := NewSnapshot(w).Explore(Limits{Workers: 1}, nil)
	four := NewSnapshot(w).Explore(Limits{Workers: 4}, nil)
	stopped := NewSnapshot(w)
	stopped.Explore(Limits{Workers: 2, MaxDepth: 9}, nil)
	later := stopped.Explore(Limits{Workers: 3}, nil)
	if !reflect.DeepEqual(one, four) || !reflect.DeepEqual(one, later) || !one.Complete {
		t.Errorf("%+v\n%+v\n%+v", one, four, later)
	}
}

// A copy of a state must go on as the state itself would: the search by copies agrees with the one that replays every
// path from the start, in every count and in every end.
func TestCopiedStatesMatchReplayedPaths(t *testing.T) {
	for _, name := range []string{"single", "limit", "nodes-two", "roles-one"} {
		w, _ := FindWorld(name)
		copied := NewSnapshot(w).Explore(Limits{Workers: 4}, nil)
		played := NewSnapshot(w).Explore(Limits{Workers: 4, ReplayPaths: true}, nil)
		if !reflect.DeepEqual(copied, played) || !copied.Complete {
			t.Errorf("%s: %+v\n%+v", name, copied, played)
		}
	}
}

// Events of different routers commute: trying them in one order leaves out no end, and no violation.
func TestRouterOrderReductionIsComplete(t *testing.T) {
	for _, kinds := range [][]FaultKind{{FaultDrain}, {FaultRestart, FaultReset}, {FaultLeave, FaultFull, FaultLate}} {
		w := World{Name: "nodes", PrefillEngines: 1, DecodeEngines: 1, Effects: []config.Effect{config.EffectNonRetriable}, Faults: 1, Routers: 2, FaultKinds: kinds}
		ordered := NewSnapshot(w).Explore(Limits{Workers: 4}, nil)
		w.AllOrders = true
		plain := NewSnapshot(w).Explore(Limits{Workers: 4}, nil)
		reportViolations(t, ordered)
		reportViolations(t, plain)
		if ordered.EndsChecksum != plain.EndsChecksum || ordered.Ends != plain.Ends || !plain.Complete || plain.Ends < 5 ||
			ordered.Transitions >= plain.Transitions {
			t.Errorf("%v: %+v\n%+v", kinds, ordered, plain)
		}
	}
}

// What 1 to 300 routers decide on their own stays within the budget of a warming engine, and is not nothing.
func TestCrowdsStayWithinWarmUpBudget(t *testing.T) {
	for _, w := range CrowdWorlds {
		r := SimulateCrowd(w, 7, nil)
		if len(r.Violations) > 0 || r.MaxColdAttempts < 5 {
			t.Errorf("%s: %v, at most %d attempts in a window", w.Name, r.Violations, r.MaxColdAttempts)
		}
	}
}

// Expanding equal states once must lose nothing: without merging, every path of a small world has the same ends.
func TestMergingStatesIsComplete(t *testing.T) {
	w := World{Name: "tiny", PrefillEngines: 1, DecodeEngines: 1, Effects: []config.Effect{config.EffectNonRetriable}, Faults: 1,
		FaultKinds: []FaultKind{FaultReset, FaultFull, FaultLeave, FaultConnect}}
	merged := NewSnapshot(w).Explore(Limits{Workers: 4}, nil)
	finals := map[string]bool{}
	ends := 0
	var walk func(path Path)
	walk = func(path Path) {
		s, _ := replayPath(w, path, false)
		if len(s.violations()) > 0 {
			t.Fatalf("%v at %v", s.violations(), path)
		}
		n := len(s.enabledEvents())
		if n == 0 {
			s.checkTerminal()
			ends++
			finals[s.clientOutcomes()[0]] = true
			return
		}
		for i := range n {
			walk(append(path[:len(path):len(path)], uint8(i)))
		}
	}
	walk(nil)
	if !merged.Complete || merged.Ends == 0 || ends < merged.Ends || len(finals) < 3 {
		t.Errorf("%d ends in a plain search, %d merged, finals %v", ends, merged.Ends, finals)
	}
}

// A path is described step by step, and one that does not fit is reported.
func TestCounterexample(t *testing.T) {
	w, _ := FindWorld("one")
	r := Result{World: w, Path: Path{0, 0}}
	lines, broken := Describe(w, r.Path)
	if len(broken) > 0 || len(lines) < 4 || !strings.Contains(lines[1], "client 0 sends") {
		t.Errorf("%v %v", lines, broken)
	}
	if lines, _ := Describe(w, Path{200}); lines[len(lines)-1] != ErrPathMismatch.Error() {
		t.Error(lines)
	}
	if _, _, err := TraceSteps(w, Path{200}); !errors.Is(err, ErrPathMismatch) {
		t.Error(err)
	}
}

// The paths of violations that were found and fixed. Each names what it once violated.
func TestPastCounterexamples(t *testing.T) {
	for name, events := range map[string][]string{
		"P5, P3: canceled as never written after the kernel had taken the rest": {"client 0 sends a request (non-retriable)", "connection to 127.0.0.1:1001 is established and accepts part of the request",
			"the rest of the request to 127.0.0.1:1001 is sent", "client 0 disconnects"},
		"P5: the reservation of a lost prefill is held until the request ends": {"client 0 sends a request (non-retriable)", "connection to 127.0.0.1:1001 is established",
			"prefill of n-1-1 at 127.0.0.1:1001 completes, and half of its response arrives"},
		"P5: the policy keeps a reservation to the limit, then the release hangs": {"client 0 sends a request (non-retriable)",
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
			// From here the first event is applied each time, which is never a fault.
			for range 300 {
				list := s.enabledEvents()
				if len(list) == 0 {
					s.checkTerminal()
					break
				}
				s.apply(list[0])
			}
			if len(s.violated.texts) > 0 || len(s.enabledEvents()) > 0 {
				t.Errorf("%v after\n%s", s.violated, strings.Join(s.trace, "\n"))
			}
		})
	}
}

// A snapshot that is stored and read again is resumed to the same result.
func TestStoredSnapshotResumes(t *testing.T) {
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
		t.Error("what is no snapshot is decoded")
	}
	file.Reset()
	if err := (&Snapshot{World: w, Visited: map[uint64]struct{}{1: {}}}).Encode(&file); err != nil {
		t.Fatal(err)
	}
	if _, err := DecodeSnapshot(&file); !errors.Is(err, ErrNoFrontier) {
		t.Errorf("without a frontier: %v", err)
	}
}
