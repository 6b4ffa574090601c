package planner

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"

	"go.uber.org/zap"

	"sandcourse/internal/planner/assignment"
	"sandcourse/internal/planner/planapi"
)

// sendRoleOrder sends an order to an engine. The engine's reports show whether the order was followed.
func (p *Planner) sendRoleOrder(action assignment.SendRoleOrder) {
	data, err := json.Marshal(action.Order)
	if err != nil {
		return
	}
	request, err := http.NewRequestWithContext(p.ctx, http.MethodPost, "http://"+action.Engine+planapi.RolePath,
		bytes.NewReader(data))
	if err != nil {
		return
	}
	response, err := p.client.Do(request)
	if err != nil {
		p.log.Info("role order not delivered", zap.String("engine", action.Engine), zap.Error(err))
		return
	}
	defer response.Body.Close()
	// The body is read only so that the connection can be reused, so errors are ignored.
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxDiscardedBody))
	p.log.Info("role order sent", zap.String("engine", action.Engine), zap.String("role", action.Order.Role),
		zap.Int64("epoch", action.Order.Epoch), zap.Bool("drain", action.Order.Drain),
		zap.Int("status", response.StatusCode))
}
