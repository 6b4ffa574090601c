package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"sandcourse/internal/planner/planapi"
	"sandcourse/internal/protocol/engineapi"
)

// setLoadHeaders sets the load report headers of a response to a router.
func (e *Engine) setLoadHeaders(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	memoryShare := float64(e.occupancy.usedTokens) / float64(e.config.MemoryTokens)
	waitingTokens := float64(e.occupancy.queuedPrefillTokens) / 1000 // The unit of the header is 1000 tokens.
	openRequests := e.occupancy.openRequests + len(e.reservations.held)
	if e.faults.EmptyLoadReport {
		memoryShare, waitingTokens, openRequests = 0, 0, 0
	}
	header := w.Header()
	header.Set(engineapi.HeaderMemoryShare, strconv.FormatFloat(memoryShare, 'f', 3, 64))
	header.Set(engineapi.HeaderWaitingTokens, strconv.FormatFloat(waitingTokens, 'f', 3, 64))
	header.Set(engineapi.HeaderOpenRequests, strconv.Itoa(openRequests))
}

// serveLoad responds with the load report: headers for routers, a body for planners.
func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	if !e.awaitResponsive(r.Context()) {
		panic(http.ErrAbortHandler)
	}
	e.setLoadHeaders(w)
	_ = json.NewEncoder(w).Encode(e.loadReport()) // Encode fails only if the client has disconnected.
}

// loadReport returns the load report for planners.
func (e *Engine) loadReport() planapi.EngineReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	report := planapi.EngineReport{
		Role:          e.role.reported,
		Epoch:         e.role.epoch,
		Term:          e.role.term,
		Incarnation:   e.incarnation.number,
		Changing:      e.role.loading,
		Draining:      e.role.draining,
		PrefillTokens: e.work.prefilledTokens,
		DecodeTokens:  e.work.decodedTokens,
		BusySeconds:   e.work.busySeconds,
		OpenRequests:  e.occupancy.openRequests,
		Reservations:  len(e.reservations.held),
		HotPrefixes:   map[string]float64{},
	}
	if !e.coldSince.IsZero() {
		report.UptimeMillis = max(1, time.Since(e.coldSince).Milliseconds())
	}
	if factor := e.faults.ReportedWorkFactor; factor > 0 {
		report.PrefillTokens *= factor
		report.DecodeTokens *= factor
	}
	e.prefixes.addToReport(&report)
	return report
}
