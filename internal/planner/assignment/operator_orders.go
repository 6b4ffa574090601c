package assignment

import (
	"errors"
	"fmt"

	"sandcourse/internal/planner/planapi"
)

// Errors of ApplyOrder. An error about one engine is wrapped with the engine's address.
var (
	ErrNotListed      = errors.New("engine is not listed")
	ErrPinned         = errors.New("engine is already pinned")
	ErrNotPinned      = errors.New("engine is already unpinned")
	ErrStopped        = errors.New("role changes are already stopped")
	ErrNotStopped     = errors.New("role changes are already allowed")
	ErrNotQuarantined = errors.New("not aside")
)

// IneligibleError reports why an engine may not change its role.
type IneligibleError struct {
	Engine string
	Reason Reason
}

// Error returns the message that is sent to the operator.
func (e *IneligibleError) Error() string {
	return fmt.Sprintf("%s cannot change its role: %s", e.Engine, e.Reason)
}

// ApplyOrder applies an operator's order. It returns a description of the effect, or the error for which the order
// is rejected. A dry run changes nothing.
func (c *Controller) ApplyOrder(now int64, order planapi.Order) (text string, actions []Action, err error) {
	c.beginStep(now)
	engine := c.engines.byAddress[order.Engine]
	if order.Engine != "" && (engine == nil || !engine.present) {
		return "", nil, fmt.Errorf("%s: %w", order.Engine, ErrNotListed)
	}
	switch order.Operation {
	case planapi.OperationPin, planapi.OperationUnpin:
		text, err = c.setPinned(engine, order)
	case planapi.OperationStop, planapi.OperationGo:
		text, err = c.setStopped(order)
	case planapi.OperationReadmit:
		text, err = c.readmit(engine, order)
	case planapi.OperationMove:
		text, err = c.move(engine, order)
	}
	if err != nil {
		return "", nil, err
	}
	return text, c.finishStep(), nil
}

func requestedBy(order planapi.Order) string {
	return fmt.Sprintf("%s: %s", order.Operator, order.Reason)
}

func (c *Controller) setPinned(engine *engineRecord, order planapi.Order) (string, error) {
	pin := order.Operation == planapi.OperationPin
	switch {
	case pin && engine.Pinned:
		return "", fmt.Errorf("%s: %w", engine.Engine, ErrPinned)
	case !pin && !engine.Pinned:
		return "", fmt.Errorf("%s: %w", engine.Engine, ErrNotPinned)
	}
	if !order.DryRun {
		engine.Pinned, engine.Reason = pin, requestedBy(order)
		c.output.markDirty(engine)
	}
	return fmt.Sprintf("%s is %sned in its role, %s", engine.Engine, order.Operation, engine.Role), nil
}

func (c *Controller) setStopped(order planapi.Order) (string, error) {
	stop := order.Operation == planapi.OperationStop
	text := "role changes are allowed again"
	if stop {
		text = "role changes are stopped; draining engines keep their roles, loading engines complete their changes"
	}
	switch {
	case stop && c.meta.Stopped:
		return "", ErrStopped
	case !stop && !c.meta.Stopped:
		return "", ErrNotStopped
	case order.DryRun:
		return text, nil
	}
	c.meta.Stopped, c.meta.StoppedBy, c.meta.StopReason = stop, order.Operator, order.Reason
	c.output.metaDirty = true
	if stop {
		for _, engine := range c.engines.sorted {
			c.fire(engine, changesStopped)
		}
	}
	return text, nil
}

func (c *Controller) readmit(engine *engineRecord, order planapi.Order) (string, error) {
	if engine.State != Quarantined {
		return "", fmt.Errorf("%s is %s, %w", engine.Engine, engine.State, ErrNotQuarantined)
	}
	if !order.DryRun {
		engine.quarantineCount = 0
		c.fire(engine, readmitted)
	}
	return engine.Engine + " is ordered back into its role, " + engine.Role, nil
}

func (c *Controller) move(engine *engineRecord, order planapi.Order) (string, error) {
	if reason := c.ineligibleReason(engine); reason != "" {
		return "", &IneligibleError{Engine: engine.Engine, Reason: reason}
	}
	text := fmt.Sprintf("%s changes from role %s to %s", engine.Engine, engine.Role, planapi.OtherRole(engine.Role))
	if !order.DryRun {
		c.beginChange(engine, "ordered by "+requestedBy(order))
	}
	return text, nil
}
