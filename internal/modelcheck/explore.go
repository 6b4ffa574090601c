package modelcheck

import (
	"slices"
	"sync"
	"sync/atomic"
)

// Limits end an exploration.
type Limits struct {
	Workers, MaxStates, MaxDepth int
	Stop                         func() bool // polled between levels and now and then within; true ends it
	ReplayPaths                  bool        // replays each path from the start, which is slow and trusts no copy
}

// stopPollInterval is after how many states of a level Stop is polled.
const stopPollInterval = 64

// reached reports whether an exploration has to end here.
func (l Limits) reached(r *Result) bool {
	return l.MaxDepth > 0 && r.Depth >= l.MaxDepth || l.MaxStates > 0 && r.States >= l.MaxStates || l.stopped()
}

func (l Limits) stopped() bool { return l.Stop != nil && l.Stop() }

// Result is what an exploration found.
type Result struct {
	World       World    `json:"world"`
	States      int      `json:"states"`
	Transitions int      `json:"transitions"`
	Merged      int      `json:"merged"`
	Ends        int      `json:"ends"` // different states in which nothing can happen any more
	Depth       int      `json:"depth"`
	Complete    bool     `json:"complete"`
	Violations  []string `json:"broken,omitempty"`
	Path        Path     `json:"path,omitempty"` // to the violations
	Coverage    Coverage `json:"-"`
	// EndsChecksum differs for different sets of ends, whatever the order in which they were found.
	EndsChecksum    uint64 `json:"ends_sum"`
	MaxColdAttempts int    `json:"cold"` // the most attempts that a warming engine of a crowd had in one window
}

// violatedBy keeps the first violation and the path to it.
func (r *Result) violatedBy(violations []string, path Path) {
	if len(violations) > 0 && r.Path == nil {
		r.Violations, r.Path = violations, path
	}
}

// Snapshot is an exploration between two levels, which can be resumed.
type Snapshot struct {
	World     World
	Frontier  []Path
	Visited   map[uint64]struct{} // fingerprints of states
	EndStates map[uint64]struct{} // fingerprints of ends
	Result    Result
	finished  bool
}

// NewSnapshot is a snapshot before the first level.
func NewSnapshot(w World) *Snapshot {
	x := newExecution(w, false)
	return &Snapshot{World: w, Frontier: []Path{{}}, Visited: map[uint64]struct{}{x.fingerprint(): {}},
		EndStates: map[uint64]struct{}{}, Result: Result{World: w, States: 1}}
}

// successor is one state reached from a state of the frontier.
type successor struct {
	fingerprint uint64
	event       uint8
	violations  []string
}

// expansion is all successors of one state, or what was found at an end.
type expansion struct {
	successors  []successor
	terminal    bool
	fingerprint uint64   // of the end
	violations  []string // at the end
	coverage    Coverage
}

// expand tries every event of one state: the path is replayed once, and each event is applied to a copy.
func expand(w World, path Path, copies copyFuncs) (e expansion) {
	x, _ := replayPath(w, path, false)
	n := len(x.enabledEvents())
	if n == 0 {
		if x.isTerminal() { // otherwise another order of the same events goes on
			x.checkTerminal()
			e.terminal, e.violations, e.fingerprint = true, x.violations(), x.fingerprint()
		}
		e.coverage = x.coverage()
		return e
	}
	for i := range n {
		next := x
		if copies == nil {
			next, _ = replayPath(w, path, false)
		} else if i < n-1 { // the last event uses the state itself
			next = copies.copyOf(x)
		}
		next.apply(next.enabledEvents()[i])
		e.successors = append(e.successors, successor{next.fingerprint(), uint8(i), next.violations()})
		e.coverage.Add(next.coverage())
	}
	return e
}

// Explore explores level by level, so that a violation is found by a shortest path. States of a level are distributed
// over workers and merged in order, so the verdict does not depend on the number of workers. Report is called after
// each level, with the size of the next.
func (s *Snapshot) Explore(limits Limits, report func(r Result, frontier int)) Result {
	r := &s.Result
	for len(s.Frontier) > 0 && !s.finished {
		if limits.reached(r) {
			return *r
		}
		expansions, ok := s.expandFrontier(limits)
		if !ok {
			return *r // whoever resumes begins the level anew
		}
		s.merge(expansions)
		if report != nil {
			report(*r, len(s.Frontier))
		}
		if r.Path != nil {
			s.finished = true
			return *r
		}
	}
	r.Complete = r.Path == nil
	return *r
}

// expandFrontier expands all states of the frontier. It reports false if it was stopped before the last.
func (s *Snapshot) expandFrontier(limits Limits) (expansions []expansion, ok bool) {
	expansions = make([]expansion, len(s.Frontier))
	var next atomic.Int64
	var stopped atomic.Bool
	var workers sync.WaitGroup
	for range max(1, limits.Workers) {
		workers.Go(func() {
			var copies copyFuncs
			if !limits.ReplayPaths {
				copies = copyFuncs{}
			}
			for {
				i := int(next.Add(1)) - 1
				if i >= len(expansions) || stopped.Load() {
					return
				}
				if i%stopPollInterval == 0 && limits.stopped() {
					stopped.Store(true)
					return
				}
				expansions[i] = expand(s.World, s.Frontier[i], copies)
			}
		})
	}
	workers.Wait()
	return expansions, !stopped.Load()
}

// merge adds the expansions of the frontier to the result, in order, and makes the next frontier.
func (s *Snapshot) merge(expansions []expansion) {
	r := &s.Result
	var frontier []Path
	for i, e := range expansions {
		path := s.Frontier[i]
		r.Coverage.Add(e.coverage)
		if e.terminal {
			s.mergeEnd(e, path)
		}
		for _, next := range e.successors {
			r.Transitions++
			longer := append(slices.Clone(path), next.event)
			r.violatedBy(next.violations, longer)
			if _, ok := s.Visited[next.fingerprint]; ok {
				r.Merged++
				continue
			}
			s.Visited[next.fingerprint] = struct{}{}
			r.States++
			frontier = append(frontier, longer)
		}
	}
	s.Frontier = frontier
	r.Depth++
}

func (s *Snapshot) mergeEnd(e expansion, path Path) {
	if _, ok := s.EndStates[e.fingerprint]; !ok {
		s.EndStates[e.fingerprint] = struct{}{}
		s.Result.Ends++
		s.Result.EndsChecksum ^= e.fingerprint
	}
	s.Result.violatedBy(e.violations, slices.Clone(path))
}
