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

// Why an operator's order is answered with a conflict although the order itself is allowed.
var (
	ErrDeposed  = errors.New("this planner is deposed")
	ErrNotSaved = errors.New("it could not be kept, and takes effect once it can")
)

// Status is what a planner shows to operators.
type Status struct {
	Term           int64                   `json:"term"`
	Number         int64                   `json:"number"` // of the newest plan
	Deposed        bool                    `json:"deposed"`
	SaveFailing    bool                    `json:"stuck"`
	FollowingEdges int                     `json:"edges_following"`
	Engines        []assignment.EngineView `json:"engines"`
	Decision       assignment.Decision     `json:"decision"`
}

func (p *Planner) serveStream(w http.ResponseWriter, r *http.Request) { p.stream.serve(p.ctx, w, r) }

// serveEdgeReport takes an edge's report.
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
	p.handle(assignment.EdgeReported{Report: report})
	w.WriteHeader(http.StatusNoContent)
}

// serveStatus answers with the planner's status.
func (p *Planner) serveStatus(w http.ResponseWriter, r *http.Request) {
	if status, ok := inEventLoop(p, w, r, p.status); ok {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(status) // the client has gone
	}
}

// status is the planner's status; the event loop calls it.
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

// orderResult is what came of an operator's order.
type orderResult struct {
	text string
	err  error
}

// serveOperatorOrder carries out an operator's order and answers with what it does.
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
	result, ok := inEventLoop(p, w, r, func() orderResult { return p.applyOrder(order) })
	if !ok {
		return
	}
	if result.err != nil {
		http.Error(w, result.err.Error(), http.StatusConflict)
		return
	}
	fmt.Fprintln(w, result.text)
}

// applyOrder carries out an operator's order; the event loop calls it.
func (p *Planner) applyOrder(order planapi.Order) orderResult {
	if p.controller.SteppedDown() {
		return orderResult{err: ErrDeposed}
	}
	text, actions, err := p.controller.ApplyOrder(p.now(), order)
	if err == nil {
		p.carryOut(actions)
		if p.saver.failing {
			err = ErrNotSaved
		}
	}
	p.log.Info("operator order", zap.String("operation", order.Operation), zap.String("engine", order.Engine),
		zap.String("operator", order.Operator), zap.String("reason", order.Reason), zap.Bool("dry_run", order.DryRun),
		zap.Error(err))
	return orderResult{text: text, err: err}
}

// inEventLoop runs a function in the event loop and returns its result. It returns false if the client ended the request,
// or if the planner ended, which it answers itself.
func inEventLoop[T any](p *Planner, w http.ResponseWriter, r *http.Request, run func() T) (result T, ok bool) {
	results := make(chan T, 1)
	p.enqueue(func() { results <- run() })
	select {
	case result = <-results:
		return result, true
	case <-r.Context().Done():
	case <-p.ctx.Done():
		http.Error(w, "the planner stops", http.StatusServiceUnavailable)
	}
	return result, false
}

// readBody reads a request's body. It returns false if it could not be read, which it answers itself.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, planapi.MaxReportBytes+1))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return data, err == nil
}
