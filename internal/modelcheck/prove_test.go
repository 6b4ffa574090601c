package modelcheck

import (
	"reflect"
	"strings"
	"testing"
)

func tell(t *testing.T, r Result) {
	t.Helper()
	if len(r.Broken) > 0 {
		lines, _ := Story(r.World, r.Path)
		t.Errorf("%s: %v\n%s", r.World.Name, r.Broken, strings.Join(lines, "\n"))
	}
}

// The small worlds whole, with the verdict and the count of states that they always have.
func TestSmallWorldsHold(t *testing.T) {
	var took Cover
	for _, name := range []string{"one", "two", "limit", "nodes-two", "roles", "roles-last", "roles-edges"} {
		w, _ := Find(name)
		r := Start(w).Go(Bounds{Workers: 4}, nil)
		tell(t, r)
		if !r.Complete || r.Ends == 0 {
			t.Errorf("%s: not whole: %+v", name, r)
		}
		took.Add(r.Took)
	}
	for _, w := range Large {
		r := Swarm(w, 7, 300, 4, nil)
		tell(t, r)
		took.Add(r.Took)
	}
	if taken, of := took.Taken(); taken < of-4 {
		t.Errorf("only %d of %d rows taken; never: %v", taken, of, took.Missing())
	}
}

// The verdict, the counterexample and the counts do not hang on the number of workers, nor on a stop half way.
func TestSameWithAnyNumberOfWorkersAndAfterAStop(t *testing.T) {
	w, _ := Find("one")
	w.Faults = 1
	one := Start(w).Go(Bounds{Workers: 1}, nil)
	four := Start(w).Go(Bounds{Workers: 4}, nil)
	stopped := Start(w)
	stopped.Go(Bounds{Workers: 2, Depth: 9}, nil)
	later := stopped.Go(Bounds{Workers: 3}, nil)
	if !reflect.DeepEqual(one, four) || !reflect.DeepEqual(one, later) || !one.Complete {
		t.Errorf("%+v\n%+v\n%+v", one, four, later)
	}
}

// A copy of a state must go on as the state itself would: the search by copies agrees with the one that plays every
// path from the start, in every count and in every end.
func TestCopiesLoseNothing(t *testing.T) {
	for _, name := range []string{"single", "limit", "nodes-two", "roles-one"} {
		w, _ := Find(name)
		copied := Start(w).Go(Bounds{Workers: 4}, nil)
		played := Start(w).Go(Bounds{Workers: 4, Replay: true}, nil)
		if !reflect.DeepEqual(copied, played) || !copied.Complete {
			t.Errorf("%s: %+v\n%+v", name, copied, played)
		}
	}
}

// Events of different nodes commute: taking them in one order leaves out no end, and no break.
func TestOrderOfNodesLosesNothing(t *testing.T) {
	for _, kinds := range [][]string{{"drain"}, {"restart", "reset"}, {"leave", "full", "late"}} {
		w := World{Name: "nodes", Readers: 1, Writers: 1, Effects: []string{"non-retriable"}, Faults: 1, Nodes: 2, Kinds: kinds}
		ordered := Start(w).Go(Bounds{Workers: 4}, nil)
		w.Plain = true
		plain := Start(w).Go(Bounds{Workers: 4}, nil)
		tell(t, ordered)
		tell(t, plain)
		if ordered.EndsSum != plain.EndsSum || ordered.Ends != plain.Ends || !plain.Complete || plain.Ends < 5 ||
			ordered.Transitions >= plain.Transitions {
			t.Errorf("%v: %+v\n%+v", kinds, ordered, plain)
		}
	}
}

// What 3 to 300 nodes decide on their own stays under the budget of a cold engine, and is not nothing.
func TestCrowdsKeepTheColdBudget(t *testing.T) {
	for _, w := range Crowds {
		r := Crowd(w, 7, nil)
		if len(r.Broken) > 0 || r.Cold < 5 {
			t.Errorf("%s: %v, at most %d sends in a window", w.Name, r.Broken, r.Cold)
		}
	}
}

// Opening states that are alike once must lose nothing: without merging, every way of a small world ends alike.
func TestMergingLosesNothing(t *testing.T) {
	w := World{Name: "tiny", Readers: 1, Writers: 1, Effects: []string{"non-retriable"}, Faults: 1,
		Kinds: []string{"reset", "full", "leave", "connect"}}
	merged := Start(w).Go(Bounds{Workers: 4}, nil)
	finals := map[string]bool{}
	ends := 0
	var walk func(path Path)
	walk = func(path Path) {
		s, _ := run(w, path, false)
		if len(s.found()) > 0 {
			t.Fatalf("%v at %v", s.found(), path)
		}
		n := len(s.events())
		if n == 0 {
			s.checkEnd()
			ends++
			finals[s.finals()[0]] = true
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

// A break is found by a shortest path, and its story tells it again.
func TestCounterexample(t *testing.T) {
	w, _ := Find("one")
	r := Result{World: w, Path: Path{0, 0}}
	lines, broken := Story(w, r.Path)
	if len(broken) > 0 || len(lines) < 4 || !strings.Contains(lines[1], "client 0 asks") {
		t.Errorf("%v %v", lines, broken)
	}
	if lines, _ := Story(w, Path{200}); !strings.Contains(lines[len(lines)-1], "does not fit") {
		t.Error(lines)
	}
}

// The traces of what was found, on the text as it is now. Each names what it once broke.
func TestFoundBefore(t *testing.T) {
	for name, events := range map[string][]string{
		"P5, P3: withdrawn as never written after the kernel had taken the rest": {"client 0 asks (non-retriable)", "connection to 127.0.0.1:1001 is there, and takes a part of the request",
			"the rest of the request to 127.0.0.1:1001 goes out", "client 0 leaves"},
		"P5: a lost read's state stays until the inference ends": {"client 0 asks (non-retriable)", "connection to 127.0.0.1:1001 is there",
			"read of n-1-1 at 127.0.0.1:1001 ends, half its answer comes"},
		"P5: the module keeps a state to the pin limit, then the release hangs": {"client 0 asks (non-retriable)",
			"connection to 127.0.0.1:1001 is there", "the list says that 127.0.0.1:2001 drains", "read of n-1-1 at 127.0.0.1:1001 ends"},
	} {
		t.Run(name, func(t *testing.T) {
			w, _ := Find("one")
			s := newSim(w, true)
			for _, want := range events {
				found := false
				for _, e := range s.events() {
					if e.Name == want && !found {
						found = true
						s.step(e)
					}
				}
				if !found {
					t.Fatalf("%q cannot happen after %v", want, s.story)
				}
			}
			// From here the first event is taken each time, which is never a fault: the wire is kind from now on.
			for range 300 {
				row := s.events()
				if len(row) == 0 {
					s.checkEnd()
					break
				}
				s.step(row[0])
			}
			if len(s.broken) > 0 || len(s.events()) > 0 {
				t.Errorf("%v after\n%s", s.broken, strings.Join(s.story, "\n"))
			}
		})
	}
}
