package modelcheck

import (
	"cmp"
	"fmt"
	"math/bits"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"sandcourse/internal/attempt"
	"sandcourse/internal/config"
	"sandcourse/internal/connpool"
	"sandcourse/internal/planner/assignment"
	"sandcourse/internal/routing"
)

// Path is a row of events by their numbers among those that could happen.
type Path []uint8

// execution is an execution between two events: of one node, or of several.
type execution interface {
	enabledEvents() []Event // in an order that hangs on nothing but the state
	apply(e Event)
	isTerminal() bool // nothing can happen any more
	checkTerminal()
	fingerprint() uint64
	violations() []string // what is broken
	coverage() Coverage
	describe() []string
	clientOutcomes() []string // of the clients
	elapsed() time.Duration
}

func newExecution(w World, tell bool) execution {
	if w.RoleChanges {
		return plannerExecution{newRoleSim(w)}
	}
	if w.Routers > 1 {
		return newFleet(w)
	}
	return newSimulation(w, tell)
}

// replayPath plays a path from the start. It stops early, with ok false, where the path does not fit.
func replayPath(w World, path Path, tell bool) (s execution, ok bool) {
	s = newExecution(w, tell)
	for _, n := range path {
		list := s.enabledEvents()
		if int(n) >= len(list) {
			return s, false
		}
		s.apply(list[n])
		if len(s.violations()) > 0 {
			break
		}
	}
	return s, true
}

func (s *simulation) violations() []string { return s.violated }

func (s *simulation) isTerminal() bool { return len(s.enabledEvents()) == 0 }

func (s *simulation) elapsed() time.Duration { return time.Duration(s.now - int64(1000*time.Second)) }

func (s *simulation) clientOutcomes() (list []string) {
	for _, c := range s.clients {
		list = append(list, c.outcome)
	}
	return list
}

func (s *simulation) apply(e Event) {
	if e.faultKind != "" {
		s.faultsUsed++
	}
	if s.tracing {
		s.trace = append(s.trace, e.Name)
	}
	e.apply()
	s.checkState()
}

// Limits end an exploration.
type Limits struct {
	Workers, MaxStates, MaxDepth int
	Stop                         func() bool // polled between levels and now and then within; true ends it
	ReplayPaths                  bool        // plays each path from the start, which is slow and trusts no copy
}

// Result is what an exploration found.
type Result struct {
	World       World    `json:"world"`
	States      int      `json:"states"`
	Transitions int      `json:"transitions"`
	Merged      int      `json:"merged"`
	Ends        int      `json:"ends"`
	Depth       int      `json:"depth"`
	Complete    bool     `json:"complete"`
	Violations  []string `json:"broken,omitempty"`
	Path        Path     `json:"path,omitempty"`
	Coverage    Coverage `json:"-"`
	// EndsSum tells two sets of ends apart, whatever the way to them.
	EndsChecksum    uint64 `json:"ends_sum"`
	MaxColdAttempts int    `json:"cold"` // the most sends that a cold engine of a crowd had in one window
}

// Coverage is which rows of the tables were taken.
type Coverage struct{ Routing, Attempt, Connections, Assignment uint64 }

// Add joins two.
func (c *Coverage) Add(o Coverage) {
	c.Routing |= o.Routing
	c.Attempt |= o.Attempt
	c.Connections |= o.Connections
	c.Assignment |= o.Assignment
}

// Unfired names the rows never taken.
func (c Coverage) Unfired() (list []string) {
	for _, t := range []struct {
		took uint64
		rows []string
	}{{c.Routing, routing.TransitionNames()}, {c.Attempt, attempt.TransitionNames()}, {c.Connections, connpool.TransitionNames()}, {c.Assignment, assignment.TransitionNames()}} {
		for i, name := range t.rows {
			if t.took&(1<<i) == 0 {
				list = append(list, name)
			}
		}
	}
	return list
}

// Fired is how many rows were taken, of how many.
func (c Coverage) Fired() (taken, of int) {
	return bits.OnesCount64(c.Routing) + bits.OnesCount64(c.Attempt) + bits.OnesCount64(c.Connections) + bits.OnesCount64(c.Assignment),
		len(routing.TransitionNames()) + len(attempt.TransitionNames()) + len(connpool.TransitionNames()) + len(assignment.TransitionNames())
}

// Snapshot is an exploration between two levels, to go on from.
type Snapshot struct {
	World     World
	Frontier  []Path
	Visited   map[uint64]struct{}
	EndStates map[uint64]struct{} // digests of ends
	Result    Result
	finished  bool
}

// NewSnapshot is a snapshot before the first level.
func NewSnapshot(w World) *Snapshot {
	s := newExecution(w, false)
	return &Snapshot{World: w, Frontier: []Path{{}}, Visited: map[uint64]struct{}{s.fingerprint(): {}},
		EndStates: map[uint64]struct{}{}, Result: Result{World: w, States: 1}}
}

// successor is one state reached from a state of the front.
type successor struct {
	fingerprint uint64
	event       uint8
	violations  []string
}

type expansion struct {
	successors  []successor
	terminal    bool
	fingerprint uint64   // of the end
	violations  []string // at the end
	coverage    Coverage
	done        bool
}

func (s *simulation) coverage() (c Coverage) {
	c.Routing, c.Attempt, c.Connections = s.core.FiredTransitions()
	c.Add(s.earlierCoverage)
	return c
}

// expand tries every event of one state: the path is played once, and each event goes on from a copy.
func expand(w World, path Path, copies copyFuncs) (e expansion) {
	s, _ := replayPath(w, path, false)
	n := len(s.enabledEvents())
	e.done = true
	if n == 0 {
		if s.isTerminal() { // else another order of the same events goes on
			s.checkTerminal()
			e.terminal, e.violations, e.fingerprint = true, s.violations(), s.fingerprint()
		}
		e.coverage = s.coverage()
		return e
	}
	for i := range n {
		next := s
		if copies == nil {
			next, _ = replayPath(w, path, false)
		} else if i < n-1 { // the last event uses the state itself
			next = copies.copyOf(s)
		}
		next.apply(next.enabledEvents()[i])
		e.successors = append(e.successors, successor{next.fingerprint(), uint8(i), next.violations()})
		e.coverage.Add(next.coverage())
	}
	return e
}

// Explore explores level by level, so that what it finds is found by a shortest path. States of a level are dealt out to
// workers and taken up in order, so the verdict does not hang on the number of workers. Told is called after each
// level.
func (snap *Snapshot) Explore(limits Limits, report func(r Result, front int)) Result {
	r := &snap.Result
	for len(snap.Frontier) > 0 && !snap.finished {
		if limits.MaxDepth > 0 && r.Depth >= limits.MaxDepth || limits.MaxStates > 0 && r.States >= limits.MaxStates || limits.Stop != nil && limits.Stop() {
			return *r
		}
		rows := make([]expansion, len(snap.Frontier))
		var next atomic.Int64
		var stopped atomic.Bool
		var all sync.WaitGroup
		for range max(1, limits.Workers) {
			all.Go(func() {
				var copies copyFuncs
				if !limits.ReplayPaths {
					copies = copyFuncs{}
				}
				for {
					i := int(next.Add(1)) - 1
					if i >= len(rows) || stopped.Load() {
						return
					}
					if i%64 == 0 && limits.Stop != nil && limits.Stop() {
						stopped.Store(true)
						return
					}
					rows[i] = expand(snap.World, snap.Frontier[i], copies)
				}
			})
		}
		all.Wait()
		if stopped.Load() {
			return *r // the level is begun anew by whoever goes on
		}
		var front []Path
		for i, expanded := range rows {
			path := snap.Frontier[i]
			r.Coverage.Add(expanded.coverage)
			if expanded.terminal {
				if _, ok := snap.EndStates[expanded.fingerprint]; !ok {
					snap.EndStates[expanded.fingerprint] = struct{}{}
					r.Ends++
					r.EndsChecksum ^= expanded.fingerprint
				}
				if len(expanded.violations) > 0 && r.Path == nil {
					r.Violations, r.Path = expanded.violations, slices.Clone(path)
				}
			}
			for _, c := range expanded.successors {
				r.Transitions++
				if len(c.violations) > 0 && r.Path == nil {
					r.Violations, r.Path = c.violations, append(slices.Clone(path), c.event)
				}
				if _, ok := snap.Visited[c.fingerprint]; ok {
					r.Merged++
					continue
				}
				snap.Visited[c.fingerprint] = struct{}{}
				r.States++
				front = append(front, append(slices.Clone(path), c.event))
			}
		}
		snap.Frontier = front
		r.Depth++
		if report != nil {
			report(*r, len(front))
		}
		if r.Path != nil {
			snap.finished = true
			return *r
		}
	}
	r.Complete = r.Path == nil
	return *r
}

// RandomWalks walks at random from seeds, deep into worlds that are too large to be explored whole.
func RandomWalks(w World, seed uint64, walks, workers int, until func() bool) (r Result) {
	r.World = w
	type walk struct {
		path   Path
		broken []string
		took   Coverage
		end    bool
		world  World // with the kinds of fault that this walk may bring
	}
	rows := make([]walk, walks)
	var next atomic.Int64
	var all sync.WaitGroup
	for range max(1, workers) {
		all.Go(func() {
			for {
				i := int(next.Add(1)) - 1
				if i >= walks || until != nil && until() {
					return
				}
				rng := rand.New(rand.NewPCG(seed, uint64(i)))
				// Each walk leaves out some kinds of fault: swarms find more than walks that may do everything.
				mine := w
				for _, kind := range FaultKinds() {
					if rng.Float64() < 0.5 && (len(w.FaultKinds) == 0 || slices.Contains(w.FaultKinds, kind)) {
						mine.FaultKinds = append(mine.FaultKinds, kind)
					}
				}
				s := newExecution(mine, false)
				var path Path
				for range 2000 {
					list := s.enabledEvents()
					if len(list) == 0 {
						if s.isTerminal() {
							s.checkTerminal()
							rows[i].end = true
						}
						break
					}
					n := rng.IntN(len(list))
					// Faults are one kind of event among many in a large world: choose them less often.
					if list[n].faultKind != "" && rng.Float64() < 0.7 {
						n = rng.IntN(len(list))
					}
					path = append(path, uint8(n))
					s.apply(list[n])
					if len(s.violations()) > 0 {
						break
					}
				}
				rows[i].world = mine
				rows[i].path, rows[i].broken, rows[i].took = path, s.violations(), s.coverage()
				if len(s.violations()) > 0 {
					rows[i].path = shrink(mine, path)
				}
			}
		})
	}
	all.Wait()
	for _, walked := range rows {
		r.Transitions += len(walked.path)
		r.Coverage.Add(walked.took)
		r.Depth = max(r.Depth, len(walked.path))
		if walked.end {
			r.Ends++
		}
		if len(walked.broken) > 0 && r.Path == nil {
			r.World, r.Violations, r.Path = walked.world, walked.broken, walked.path
		}
	}
	r.States = r.Transitions
	return r
}

// shrink leaves out events that a break does not need.
func shrink(w World, path Path) Path {
	want, _ := replayPath(w, path, false)
	if len(want.violations()) == 0 {
		return path
	}
	name := propertyName(want.violations()[0])
	for size := len(path) / 2; size > 0; size /= 2 {
		for i := 0; i+size <= len(path); {
			shorter := slices.Delete(slices.Clone(path), i, i+size)
			if s, ok := replayPath(w, shorter, false); ok && len(s.violations()) > 0 && propertyName(s.violations()[0]) == name {
				path = shorter
			} else {
				i += size
			}
		}
	}
	return path
}

func propertyName(broken string) string {
	name, _, _ := strings.Cut(broken, " ")
	return name
}

// FaultKinds are the kinds of fault.
func FaultKinds() []string {
	return []string{"connect", "drain", "error", "full", "garbled", "half", "kill", "late", "leave", "no-state", "part", "reset",
		"restart", "retry", "silent"}
}

// Describe tells a path as numbered steps with the state after each.
func Describe(w World, path Path) (lines []string, broken []string) {
	s := newExecution(w, true)
	lines = append(lines, fmt.Sprintf("world %s: %d readers, %d writers, inferences %v", w.Name, w.PrefillEngines, w.DecodeEngines, w.Effects))
	before := s.describe()
	for i, n := range path {
		list := s.enabledEvents()
		if int(n) >= len(list) {
			return append(lines, "the path does not fit this text any more"), nil
		}
		s.apply(list[n])
		lines = append(lines, fmt.Sprintf("%2d. %s", i+1, list[n].Name))
		after := s.describe()
		for _, line := range after {
			if !slices.Contains(before, line) {
				lines = append(lines, "      "+line)
			}
		}
		before = after
		if len(s.violations()) > 0 {
			break
		}
	}
	if len(s.violations()) == 0 && s.isTerminal() {
		s.checkTerminal()
	}
	for _, violation := range s.violations() {
		lines = append(lines, "BROKEN "+violation)
	}
	return lines, s.violations()
}

var attemptStateNames = map[attempt.State]string{attempt.Dialing: "dialling", attempt.Writing: "writing",
	attempt.AwaitingResponse: "waiting", attempt.Responding: "answering", attempt.Streaming: "flowing", attempt.Ended: "over"}

func (s *simulation) describe() (list []string) {
	for _, c := range s.clients {
		if c.requested {
			state := cmp.Or(c.outcome, "open")
			list = append(list, fmt.Sprintf("client %d, inference %s: %s, perhaps run by %d", c.number, c.requestID, state, c.possibleRuns))
		}
	}
	for _, openAttempt := range s.core.OpenAttempts() {
		state := attemptStateNames[openAttempt.State]
		if openAttempt.Ended {
			state = openAttempt.Verdict
		}
		list = append(list, fmt.Sprintf("send of %s to %s: %s", openAttempt.Request, openAttempt.Engine, state))
	}
	for _, h := range s.reservations {
		list = append(list, fmt.Sprintf("%s holds a state of %s", h.engine, h.requestID))
	}
	list = append(list, fmt.Sprintf("%v have passed", time.Duration(s.now-int64(1000*time.Second))))
	return list
}

// Step is one event of a path, for whoever plays it elsewhere.
type Step struct {
	Name string
	At   time.Duration // since the start
}

// TraceSteps are the events of a path, and what each client ends with.
func TraceSteps(w World, path Path) (steps []Step, finals []string, err error) {
	s := newExecution(w, true)
	for i, n := range path {
		list := s.enabledEvents()
		if int(n) >= len(list) {
			return nil, nil, fmt.Errorf("step %d does not fit this text any more", i+1)
		}
		s.apply(list[n])
		steps = append(steps, Step{list[n].Name, s.elapsed()})
	}
	return steps, s.clientOutcomes(), nil
}

// EngineNames are the engines of a world, as its events name them: readers first.
func (w World) EngineNames() (list []string) {
	for i := range w.PrefillEngines + w.DecodeEngines {
		list = append(list, engineName(w, i))
	}
	return list
}

// Deployment is the settings that a world's node runs with.
func (w World) Deployment() *config.Deployment { return w.deployment() }

// ShortestEndPaths are paths to the first different ends of a world, at most so many, in the order of their length.
func ShortestEndPaths(w World, most int) (paths []Path) {
	visited := map[uint64]bool{}
	front := []Path{{}}
	for len(front) > 0 && len(paths) < most {
		var next []Path
		for _, path := range front {
			s, _ := replayPath(w, path, false)
			n := len(s.enabledEvents())
			if n == 0 {
				paths = append(paths, path)
			}
			for i := range n {
				longer := append(slices.Clone(path), uint8(i))
				s, _ := replayPath(w, longer, false)
				if d := s.fingerprint(); !visited[d] {
					visited[d] = true
					next = append(next, longer)
				}
			}
		}
		front = next
	}
	return paths[:min(len(paths), most)]
}
