package assignment

import (
	"time"

	"sandcourse/internal/planner/planapi"
)

// Action is an output of Controller.Step. Actions must be executed in order.
type Action interface{ isAction() }

// Persist saves records and meta. They must be durable before any later action is executed: after a crash, the next
// planner must know each order that was sent.
type Persist struct {
	Records []Record
	Meta    Meta
}

// PublishPlan sends a plan to all edges.
type PublishPlan struct{ Plan planapi.Plan }

// SendRoleOrder sends a role order to an engine. Orders may get lost: the controller sends them again until the
// engine's reports show that they were followed.
type SendRoleOrder struct {
	Engine string
	Order  planapi.RoleOrder
}

// StartTrial sends an engine a small request that verifies its role. The outcome is a TrialEnded event.
type StartTrial struct {
	Engine string
	Role   string
	Epoch  int64
	Number int64
}

// EngineQuarantined notifies operators that an engine was removed from the plan. The engine is ordered back into
// its last role after RetryAfter, or when an operator readmits it.
type EngineQuarantined struct {
	Engine     string
	Fault      string
	RetryAfter time.Duration
}

// DrainTimedOut notifies operators that an engine keeps its role because its requests did not end in time.
type DrainTimedOut struct {
	Engine  string
	Timeout time.Duration
}

// LaterTermFollowed notifies operators that an engine follows a planner with a later term than this planner.
type LaterTermFollowed struct {
	Engine  string
	Term    int64
	OwnTerm int64
}

// StepDown reports that a planner with a later term is active. This planner sends no orders or trials from then on.
type StepDown struct{ Term int64 }

func (Persist) isAction()           {}
func (PublishPlan) isAction()       {}
func (SendRoleOrder) isAction()     {}
func (StartTrial) isAction()        {}
func (EngineQuarantined) isAction() {}
func (DrainTimedOut) isAction()     {}
func (LaterTermFollowed) isAction() {}
func (StepDown) isAction()          {}
