package modelcheck

import (
	"math/bits"

	"sandcourse/internal/attempt"
	"sandcourse/internal/connpool"
	"sandcourse/internal/planner/assignment"
	"sandcourse/internal/routing"
)

// Coverage records which transitions of each state machine have fired, with one bit per transition.
type Coverage struct{ Routing, Attempt, Connections, Assignment uint64 }

// Add adds the transitions that have fired in other.
func (c *Coverage) Add(other Coverage) {
	c.Routing |= other.Routing
	c.Attempt |= other.Attempt
	c.Connections |= other.Connections
	c.Assignment |= other.Assignment
}

// machineCoverage is the coverage of one state machine.
type machineCoverage struct {
	fired       uint64
	transitions []string
}

func (c Coverage) machines() []machineCoverage {
	return []machineCoverage{{c.Routing, routing.TransitionNames()}, {c.Attempt, attempt.TransitionNames()},
		{c.Connections, connpool.TransitionNames()}, {c.Assignment, assignment.TransitionNames()}}
}

// Unfired returns the names of the transitions that have not fired.
func (c Coverage) Unfired() (names []string) {
	for _, m := range c.machines() {
		for i, name := range m.transitions {
			if m.fired&(1<<i) == 0 {
				names = append(names, name)
			}
		}
	}
	return names
}

// Fired returns the number of transitions that have fired, and the number of all transitions.
func (c Coverage) Fired() (fired, total int) {
	for _, m := range c.machines() {
		fired += bits.OnesCount64(m.fired)
		total += len(m.transitions)
	}
	return fired, total
}
