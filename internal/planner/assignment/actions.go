package assignment

import "sandcourse/internal/planner/planapi"

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

// NotifyOperators is a message for the log.
type NotifyOperators struct{ Text string }

// StepDown says that a planner of a later term is active: this one sends orders and trials no more.
type StepDown struct{ Term int64 }

func (Persist) isAction()         {}
func (PublishPlan) isAction()     {}
func (SendRoleOrder) isAction()   {}
func (StartTrial) isAction()      {}
func (NotifyOperators) isAction() {}
func (StepDown) isAction()        {}
