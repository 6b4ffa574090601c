package modelcheck

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"
)

// ErrPathMismatch is returned for a path that was recorded with another version of the code or in another world.
var ErrPathMismatch = errors.New("path does not match this version of the code")

// violationPrefix begins each line of a description that contains a violation.
const violationPrefix = "BROKEN "

// Describe returns lines with the numbered steps of a path, the state changes of each step and the violations, and returns the
// violations also separately.
func Describe(w World, path Path) (lines []string, violations []string) {
	exec := newExecution(w, true)
	lines = append(lines, fmt.Sprintf("world %s: %d prefill engines, %d decode engines, requests %v", w.Name, w.PrefillEngines,
		w.DecodeEngines, w.Effects))
	before := exec.describe()
	for i, n := range path {
		enabled := exec.enabledEvents()
		if int(n) >= len(enabled) {
			return append(lines, ErrPathMismatch.Error()), nil
		}
		exec.apply(enabled[n])
		lines = append(lines, fmt.Sprintf("%2d. %s", i+1, enabled[n].Name))
		after := exec.describe()
		for _, line := range after {
			if !slices.Contains(before, line) {
				lines = append(lines, "      "+line)
			}
		}
		before = after
		if len(exec.violations()) > 0 {
			break
		}
	}
	if len(exec.violations()) == 0 && exec.isTerminal() {
		exec.checkTerminal()
	}
	for _, violation := range exec.violations() {
		lines = append(lines, violationPrefix+violation)
	}
	return lines, exec.violations()
}

func (s *simulation) describe() (lines []string) {
	for _, c := range s.clients {
		if c.requestSent {
			lines = append(lines, fmt.Sprintf("client %d, request %s: %s, may have run at %d engines", c.number, c.requestID,
				cmp.Or(c.outcome, "open"), c.possibleRuns))
		}
	}
	for _, open := range s.core.OpenAttempts() {
		state := open.State.String()
		if open.Ended {
			state = string(open.Verdict)
		}
		lines = append(lines, fmt.Sprintf("attempt of %s at %s: %s", open.Request, open.Engine, state))
	}
	for _, h := range s.reservations.held {
		lines = append(lines, fmt.Sprintf("%s holds a reservation of %s", h.engine, h.requestID))
	}
	return append(lines, fmt.Sprintf("elapsed time: %v", s.elapsed()))
}

// Step is one event of a path, for callers that replay the path outside the model checker.
type Step struct {
	Event
	At time.Duration // simulated time since the start
}

// TraceSteps returns the events of a path, and the outcome of each client (empty while the client waits). The error is
// ErrPathMismatch.
func TraceSteps(w World, path Path) (steps []Step, outcomes []string, err error) {
	exec := newExecution(w, true)
	for i, n := range path {
		enabled := exec.enabledEvents()
		if int(n) >= len(enabled) {
			return nil, nil, fmt.Errorf("step %d of world %s: %w", i+1, w.Name, ErrPathMismatch)
		}
		exec.apply(enabled[n])
		steps = append(steps, Step{enabled[n], exec.elapsed()})
	}
	return steps, exec.clientOutcomes(), nil
}

// ShortestTerminalPaths returns the paths to the first terminal states that a breadth-first search finds, at most limit paths.
func ShortestTerminalPaths(w World, limit int) (paths []Path) {
	visited := map[uint64]bool{}
	frontier := []Path{{}}
	for len(frontier) > 0 && len(paths) < limit {
		var next []Path
		for _, path := range frontier {
			exec, _ := replayPath(w, path, false)
			n := len(exec.enabledEvents())
			if n == 0 {
				paths = append(paths, path)
			}
			for i := range n {
				extendedPath := append(slices.Clone(path), uint8(i))
				exec, _ := replayPath(w, extendedPath, false)
				if fingerprint := exec.fingerprint(); !visited[fingerprint] {
					visited[fingerprint] = true
					next = append(next, extendedPath)
				}
			}
		}
		frontier = next
	}
	return paths[:min(len(paths), limit)]
}
