package modelcheck

import "time"

// Path is a sequence of events, each identified by its index in the list of enabled events.
type Path []uint8

// execution is the state of a run of one router, of several routers or of the planner, between two events.
type execution interface {
	enabledEvents() []Event // The order of the events depends only on the state.
	apply(e Event)
	isTerminal() bool // A terminal state has no enabled event, regardless of the order reduction.
	checkTerminal()
	fingerprint() uint64
	violations() []string
	coverage() Coverage
	describe() []string
	clientOutcomes() []string
	elapsed() time.Duration
}

func newExecution(w World, tracing bool) execution {
	if w.RoleChanges {
		return newPlannerSimulation(w)
	}
	if w.Routers > 1 {
		return newFleet(w)
	}
	return newSimulation(w, tracing)
}

// replayPath runs a path from the initial state up to a violation. It returns false if an event of the path is not enabled.
func replayPath(w World, path Path, tracing bool) (exec execution, ok bool) {
	exec = newExecution(w, tracing)
	for _, n := range path {
		enabled := exec.enabledEvents()
		if int(n) >= len(enabled) {
			return exec, false
		}
		exec.apply(enabled[n])
		if len(exec.violations()) > 0 {
			break
		}
	}
	return exec, true
}
