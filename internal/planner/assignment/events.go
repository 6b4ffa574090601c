package assignment

import "sandcourse/internal/planner/planapi"

// Event is an input of Controller.Step.
type Event interface{ isEvent() }

// EnginesListed carries the complete endpoint list.
type EnginesListed struct{ Engines []ListedEngine }

// EngineReported carries the load report of an engine. RequestedAt is the time of the request: a report requested
// before a state began cannot be used to judge that state.
type EngineReported struct {
	RequestedAt int64
	Report      planapi.EngineReport
}

// EdgeReported carries the load report of an edge.
type EdgeReported struct{ Report planapi.EdgeReport }

// TrialEnded carries the outcome of a StartTrial action.
type TrialEnded struct {
	Engine string
	Number int64 // number of the trial; outcomes of earlier trials are ignored
	OK     bool
	Reason string // reason for a failed trial
}

// Tick advances the clock: timeouts are checked and decisions are made on ticks.
type Tick struct{}

func (EnginesListed) isEvent()  {}
func (EngineReported) isEvent() {}
func (EdgeReported) isEvent()   {}
func (TrialEnded) isEvent()     {}
func (Tick) isEvent()           {}
