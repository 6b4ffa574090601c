package modelcheck

import (
	"slices"
	"sync"
	"sync/atomic"
)

// Limits are the limits and options of an exploration. A MaxStates or MaxDepth of 0 means no limit.
type Limits struct {
	Workers, MaxStates, MaxDepth int
	Stop                         func() bool // function that is polled between and within levels; true stops the exploration
	ReplayPaths                  bool        // each path is replayed from the initial state instead of copying states; slow
}

// stopPollInterval is the number of states that are expanded between two polls of Stop.
const stopPollInterval = 64

// reached reports whether an exploration has reached a limit or has been stopped.
func (l Limits) reached(r *Result) bool {
	return l.MaxDepth > 0 && r.Depth >= l.MaxDepth || l.MaxStates > 0 && r.States >= l.MaxStates || l.stopRequested()
}

func (l Limits) stopRequested() bool { return l.Stop != nil && l.Stop() }

// Result is the result of an exploration.
type Result struct {
	World          World    `json:"world"`
	States         int      `json:"states"`
	Transitions    int      `json:"transitions"`
	Merged         int      `json:"merged"`
	TerminalStates int      `json:"ends"` // number of terminal states, in which no event is enabled
	Depth          int      `json:"depth"`
	Complete       bool     `json:"complete"`
	Violations     []string `json:"broken,omitempty"`
	Path           Path     `json:"path,omitempty"` // path to the violations
	Coverage       Coverage `json:"-"`
	// TerminalStatesChecksum is a checksum of the set of terminal states, independent of the order of the search.
	TerminalStatesChecksum uint64 `json:"ends_sum"`
	MaxColdAttempts        int    `json:"cold"` // maximum number of attempts to a warming engine of a crowd in one window
}

// recordFirstViolation records violations and the path to them, unless a path has been recorded.
func (r *Result) recordFirstViolation(violations []string, path Path) {
	if len(violations) > 0 && r.Path == nil {
		r.Violations, r.Path = violations, path
	}
}

// Snapshot is the state of an exploration between two levels, from which it can be resumed.
type Snapshot struct {
	World          World
	Frontier       []Path
	Visited        map[uint64]struct{} // fingerprints of all states
	TerminalStates map[uint64]struct{} // fingerprints of terminal states
	Result         Result
	finished       bool
}

// NewSnapshot returns the snapshot of an exploration that has not started.
func NewSnapshot(w World) *Snapshot {
	exec := newExecution(w, false)
	return &Snapshot{World: w, Frontier: []Path{{}}, Visited: map[uint64]struct{}{exec.fingerprint(): {}},
		TerminalStates: map[uint64]struct{}{}, Result: Result{World: w, States: 1}}
}

// successor is the state after one event in a state of the frontier.
type successor struct {
	fingerprint uint64
	event       uint8
	violations  []string
}

// expansion contains all successors of one state, or the violations in a terminal state.
type expansion struct {
	successors  []successor
	isTerminal  bool
	fingerprint uint64   // fingerprint of a terminal state
	violations  []string // violations in a terminal state
	coverage    Coverage
}

// expand replays the path to a state and applies each enabled event to a copy of the state. Without copiers, it replays the
// path again for each event.
func expand(w World, path Path, copiers copyFuncs) (e expansion) {
	exec, _ := replayPath(w, path, false)
	n := len(exec.enabledEvents())
	if n == 0 {
		if exec.isTerminal() { // Otherwise the order reduction continues in another interleaving.
			exec.checkTerminal()
			e.isTerminal, e.violations, e.fingerprint = true, exec.violations(), exec.fingerprint()
		}
		e.coverage = exec.coverage()
		return e
	}
	for i := range n {
		next := exec
		if copiers == nil {
			next, _ = replayPath(w, path, false)
		} else if i < n-1 { // The last event needs no copy.
			next = copiers.copyOf(exec)
		}
		next.apply(next.enabledEvents()[i])
		e.successors = append(e.successors, successor{next.fingerprint(), uint8(i), next.violations()})
		e.coverage.Add(next.coverage())
	}
	return e
}

// Explore runs a breadth-first search, so that the path to a violation has the minimum length. Workers share the states of a
// level; successors are merged in order, so the result does not depend on the number of workers. Report, if set, is
// called after each level with the size of the next one.
func (s *Snapshot) Explore(limits Limits, report func(r Result, frontier int)) Result {
	r := &s.Result
	for len(s.Frontier) > 0 && !s.finished {
		if limits.reached(r) {
			return *r
		}
		expansions, ok := s.expandFrontier(limits)
		if !ok {
			return *r // A resumed exploration repeats this level.
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

// expandFrontier expands all states of the frontier. It returns false if it was stopped before it had expanded all of them.
func (s *Snapshot) expandFrontier(limits Limits) (expansions []expansion, ok bool) {
	expansions = make([]expansion, len(s.Frontier))
	var next atomic.Int64
	var stopped atomic.Bool
	var workers sync.WaitGroup
	for range max(1, limits.Workers) {
		workers.Go(func() {
			var copiers copyFuncs
			if !limits.ReplayPaths {
				copiers = copyFuncs{}
			}
			for {
				i := int(next.Add(1)) - 1
				if i >= len(expansions) || stopped.Load() {
					return
				}
				if i%stopPollInterval == 0 && limits.stopRequested() {
					stopped.Store(true)
					return
				}
				expansions[i] = expand(s.World, s.Frontier[i], copiers)
			}
		})
	}
	workers.Wait()
	return expansions, !stopped.Load()
}

// merge adds the expansions of the frontier to the result, in order, and sets the next frontier.
func (s *Snapshot) merge(expansions []expansion) {
	r := &s.Result
	var frontier []Path
	for i, e := range expansions {
		path := s.Frontier[i]
		r.Coverage.Add(e.coverage)
		if e.isTerminal {
			s.mergeTerminalState(e, path)
		}
		for _, next := range e.successors {
			r.Transitions++
			extendedPath := append(slices.Clone(path), next.event)
			r.recordFirstViolation(next.violations, extendedPath)
			if _, ok := s.Visited[next.fingerprint]; ok {
				r.Merged++
				continue
			}
			s.Visited[next.fingerprint] = struct{}{}
			r.States++
			frontier = append(frontier, extendedPath)
		}
	}
	s.Frontier = frontier
	r.Depth++
}

func (s *Snapshot) mergeTerminalState(e expansion, path Path) {
	if _, ok := s.TerminalStates[e.fingerprint]; !ok {
		s.TerminalStates[e.fingerprint] = struct{}{}
		s.Result.TerminalStates++
		s.Result.TerminalStatesChecksum ^= e.fingerprint
	}
	s.Result.recordFirstViolation(e.violations, slices.Clone(path))
}
