package assignment

import (
	"time"

	"sandcourse/internal/planner/planapi"
)

// Action is an output of Controller.Step. Actions must be carried out in order.
type Action interface{ isAction() }

// Persist must be durable before any action after it is carried out: a role change order that was sent may
// never be forgotten.
type Persist struct {
	Records []Record
	Meta    Meta
}

// PublishPlan sends a plan to all edges.
type PublishPlan struct{ Plan planapi.Plan }

// SendRoleOrder sends a role change order to an engine. It may get lost: it is sent again until the engine's
// reports show that it was followed.
type SendRoleOrder struct {
	Engine string
	Order  planapi.RoleOrder
}

// StartTrial sends an engine a small request that proves its role. TrialEnded follows.
type StartTrial struct {
	Engine string
	Role   string
	Epoch  int64
	Number int64
}

// EngineQuarantined notifies operators that an engine is out of the plan. It is ordered back into its last role
// after RetryAfter, or when an operator readmits it.
type EngineQuarantined struct {
	Engine     string
	Fault      string
	RetryAfter time.Duration
}

// DrainTimedOut notifies operators that an engine keeps its role, as its requests in flight did not end in time.
type DrainTimedOut struct {
	Engine  string
	Timeout time.Duration
}

// LaterTermFollowed notifies operators that an engine follows a planner of a later term than this one's.
type LaterTermFollowed struct {
	Engine  string
	Term    int64
	OwnTerm int64
}

// StepDown says that a planner of a later term is active: this one sends orders and trials no more.
type StepDown struct{ Term int64 }

func (Persist) isAction()           {}
func (PublishPlan) isAction()       {}
func (SendRoleOrder) isAction()     {}
func (StartTrial) isAction()        {}
func (EngineQuarantined) isAction() {}
func (DrainTimedOut) isAction()     {}
func (LaterTermFollowed) isAction() {}
func (StepDown) isAction()          {}
