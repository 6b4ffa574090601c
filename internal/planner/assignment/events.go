package assignment

import "sandcourse/internal/planner/planapi"

// Event is an input of Controller.Step.
type Event interface{ isEvent() }

// EnginesListed carries the complete endpoint list.
type EnginesListed struct{ Engines []ListedEngine }

// EngineReported carries the load report of an engine. RequestedAt is when it was requested: a report that was
// requested before a state began says nothing about that state.
type EngineReported struct {
	RequestedAt int64
	Report      planapi.EngineReport
}

// EdgeReported carries the load report of an edge.
type EdgeReported struct{ Report planapi.EdgeReport }

// TrialEnded carries the outcome of a StartTrial action.
type TrialEnded struct {
	Engine string
	Number int64 // of the trial; the outcome of an earlier one is ignored
	OK     bool
	Reason string // why it failed
}

// Tick lets time pass.
type Tick struct{}

func (EnginesListed) isEvent()  {}
func (EngineReported) isEvent() {}
func (EdgeReported) isEvent()   {}
func (TrialEnded) isEvent()     {}
func (Tick) isEvent()           {}
