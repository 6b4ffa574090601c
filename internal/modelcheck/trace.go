package modelcheck

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"
)

// ErrPathMismatch is of a path that was found by another version of the code, or in another world.
var ErrPathMismatch = errors.New("the path does not fit this version")

// violationMark begins the lines of a description that name a violation.
const violationMark = "BROKEN "

// Describe describes a path as numbered steps with what changes at each, and the violations at its end.
func Describe(w World, path Path) (lines []string, violations []string) {
	x := newExecution(w, true)
	lines = append(lines, fmt.Sprintf("world %s: %d prefill engines, %d decode engines, requests %v", w.Name, w.PrefillEngines,
		w.DecodeEngines, w.Effects))
	before := x.describe()
	for i, n := range path {
		enabled := x.enabledEvents()
		if int(n) >= len(enabled) {
			return append(lines, ErrPathMismatch.Error()), nil
		}
		x.apply(enabled[n])
		lines = append(lines, fmt.Sprintf("%2d. %s", i+1, enabled[n].Name))
		after := x.describe()
		for _, line := range after {
			if !slices.Contains(before, line) {
				lines = append(lines, "      "+line)
			}
		}
		before = after
		if len(x.violations()) > 0 {
			break
		}
	}
	if len(x.violations()) == 0 && x.isTerminal() {
		x.checkTerminal()
	}
	for _, violation := range x.violations() {
		lines = append(lines, violationMark+violation)
	}
	return lines, x.violations()
}

func (s *simulation) describe() (lines []string) {
	for _, c := range s.clients {
		if c.requested {
			lines = append(lines, fmt.Sprintf("client %d, request %s: %s, perhaps run by %d engines", c.number, c.requestID,
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
	return append(lines, fmt.Sprintf("%v have passed", s.elapsed()))
}

// Step is one event of a path, for callers that replay it elsewhere.
type Step struct {
	Event
	At time.Duration // since the start
}

// TraceSteps are the events of a path, and the outcome of each client (empty while it waits). The error is
// ErrPathMismatch.
func TraceSteps(w World, path Path) (steps []Step, outcomes []string, err error) {
	x := newExecution(w, true)
	for i, n := range path {
		enabled := x.enabledEvents()
		if int(n) >= len(enabled) {
			return nil, nil, fmt.Errorf("step %d of world %s: %w", i+1, w.Name, ErrPathMismatch)
		}
		x.apply(enabled[n])
		steps = append(steps, Step{enabled[n], x.elapsed()})
	}
	return steps, x.clientOutcomes(), nil
}

// ShortestEndPaths are paths to the first different ends of a world, at most so many, ordered by length.
func ShortestEndPaths(w World, most int) (paths []Path) {
	visited := map[uint64]bool{}
	frontier := []Path{{}}
	for len(frontier) > 0 && len(paths) < most {
		var next []Path
		for _, path := range frontier {
			x, _ := replayPath(w, path, false)
			n := len(x.enabledEvents())
			if n == 0 {
				paths = append(paths, path)
			}
			for i := range n {
				longer := append(slices.Clone(path), uint8(i))
				x, _ := replayPath(w, longer, false)
				if fingerprint := x.fingerprint(); !visited[fingerprint] {
					visited[fingerprint] = true
					next = append(next, longer)
				}
			}
		}
		frontier = next
	}
	return paths[:min(len(paths), most)]
}
