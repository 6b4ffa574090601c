package planner

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"go.uber.org/zap"

	"sandcourse/internal/planner/assignment"
	"sandcourse/internal/planner/planapi"
)

// Errors for which the response to a valid operator's order has status 409 (Conflict).
var (
	ErrDeposed  = errors.New("planner was deposed by a planner with a later term")
	ErrNotSaved = errors.New("order could not be saved; it takes effect once saving succeeds")
)

// Status is the planner's status as shown to operators.
type Status struct {
	Term           int64                   `json:"term"`
	Number         int64                   `json:"number"` // number of the newest plan
	Deposed        bool                    `json:"deposed"`
	SaveFailing    bool                    `json:"stuck"`
	FollowingEdges int                     `json:"edges_following"`
	Engines        []assignment.EngineView `json:"engines"`
	Decision       assignment.Decision     `json:"decision"`
}

func (p *Planner) serveStream(w http.ResponseWriter, r *http.Request) { p.stream.serve(p.ctx, w, r) }

// serveEdgeReport passes an edge's report to the controller.
func (p *Planner) serveEdgeReport(w http.ResponseWriter, r *http.Request) {
	data, ok := readBody(w, r)
	if !ok {
		return
	}
	report, err := planapi.ParseEdgeReport(data)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.enqueueEvent(assignment.EdgeReported{Report: report})
	w.WriteHeader(http.StatusNoContent)
}

// serveStatus responds with the planner's status.
func (p *Planner) serveStatus(w http.ResponseWriter, r *http.Request) {
	if status, ok := runInEventLoop(p, w, r, p.status); ok {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(status) // An error means that the client closed the connection.
	}
}

// status returns the planner's status. It must be called in the event loop.
func (p *Planner) status() Status {
	number, streams := p.stream.status()
	return Status{
		Term:           p.term,
		Number:         number,
		Deposed:        p.controller.SteppedDown(),
		SaveFailing:    p.saver.failing,
		FollowingEdges: streams,
		Engines:        p.controller.Engines(),
		Decision:       p.controller.LastDecision(),
	}
}

// orderResult is the outcome of an operator's order.
type orderResult struct {
	text string
	err  error
}

// serveOperatorOrder applies an operator's order and responds with a description of its effect.
func (p *Planner) serveOperatorOrder(w http.ResponseWriter, r *http.Request) {
	data, ok := readBody(w, r)
	if !ok {
		return
	}
	order, err := planapi.ParseOrder(data)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	result, ok := runInEventLoop(p, w, r, func() orderResult { return p.applyOrder(order) })
	if !ok {
		return
	}
	if result.err != nil {
		http.Error(w, result.err.Error(), http.StatusConflict)
		return
	}
	fmt.Fprintln(w, result.text)
}

// applyOrder applies an operator's order. It must be called in the event loop.
func (p *Planner) applyOrder(order planapi.Order) orderResult {
	if p.controller.SteppedDown() {
		return orderResult{err: ErrDeposed}
	}
	text, actions, err := p.controller.ApplyOrder(p.now(), order)
	if err == nil {
		p.executeActions(actions)
		if p.saver.failing {
			err = ErrNotSaved
		}
	}
	p.log.Info("operator order", zap.String("operation", order.Operation), zap.String("engine", order.Engine),
		zap.String("operator", order.Operator), zap.String("reason", order.Reason), zap.Bool("dry_run", order.DryRun),
		zap.Error(err))
	return orderResult{text: text, err: err}
}

// runInEventLoop runs a function in the event loop and returns its result. It returns false if the client closes the request
// or the planner stops before there is a result. If the planner stops, it also writes an error response.
func runInEventLoop[T any](p *Planner, w http.ResponseWriter, r *http.Request, run func() T) (result T, ok bool) {
	results := make(chan T, 1)
	p.enqueue(func() { results <- run() })
	select {
	case result = <-results:
		return result, true
	case <-r.Context().Done():
	case <-p.ctx.Done():
		http.Error(w, "planner is stopping", http.StatusServiceUnavailable)
	}
	return result, false
}

// readBody reads a request's body. If reading fails, it writes an error response and returns false.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, planapi.MaxReportBytes+1))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return data, err == nil
}
