package platformengine

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"sandcourse/internal/audit"
	"sandcourse/internal/protocol/platform"
)

// Details of audit.Released records.
const (
	releaseDone    = "released"
	releaseFetched = "taken"
)

// Fleet is a group of engines with common records of the requests that have reached them.
type Fleet struct {
	// BeforeCloseDetected, if set, is called before an engine detects that a router has closed the connection of an attempt.
	// The channel is closed once a release of the request has reached any engine. The field must be set before Start.
	BeforeCloseDetected func(request string, released <-chan struct{})

	log      *audit.Log
	mu       sync.Mutex
	requests map[string]*fleetRequest // requests by the router's request ID
}

// fleetRequest is the state of one request at the engines of a fleet.
type fleetRequest struct {
	attempts     []*engineAttempt
	reservations []reservation
	releases     int
	released     chan struct{} // channel that is closed at the first release
}

// engineAttempt is an attempt that an engine has received completely.
type engineAttempt struct {
	engineID          string
	routerAddr        string // address of the router's side of the connection
	awaitsReservation bool
	ended             bool
}

// reservation is the KV state that an engine holds for a request.
type reservation struct{ engineID string }

// NewFleet returns a fleet without engines. Its engines will record their events in the log.
func NewFleet(log *audit.Log) *Fleet { return &Fleet{log: log, requests: map[string]*fleetRequest{}} }

// HeldReservations returns the number of reservations that the fleet holds.
func (f *Fleet) HeldReservations() (count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, request := range f.requests {
		count += len(request.reservations)
	}
	return count
}

// Releases returns the number of releases that have arrived for all requests.
func (f *Fleet) Releases() (count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, request := range f.requests {
		count += request.releases
	}
	return count
}

// record records an event of an engine. On the platform, client and router use the same request ID.
func (f *Fleet) record(record audit.EngineRecord) {
	record.At, record.ClientRequestID = time.Now(), record.RequestID
	f.log.RecordEngine(record)
}

// requestState returns the state of a request and creates it if necessary. The caller holds the lock.
func (f *Fleet) requestState(requestID string) *fleetRequest {
	request := f.requests[requestID]
	if request == nil {
		request = &fleetRequest{released: make(chan struct{})}
		f.requests[requestID] = request
	}
	return request
}

func (f *Fleet) startAttempt(e *Engine, requestID string, attempt *engineAttempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	request := f.requestState(requestID)
	request.attempts = append(request.attempts, attempt)
	f.record(audit.EngineRecord{Engine: e.ID, Event: audit.AttemptStarted, RequestID: requestID, Decode: e.isDecode()})
}

func (f *Fleet) endAttempt(requestID string, attempt *engineAttempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	request := f.requestState(requestID)
	request.attempts = slices.DeleteFunc(request.attempts, func(other *engineAttempt) bool { return other == attempt })
	f.recordEnd(requestID, attempt)
}

// recordEnd records the end of an attempt, once per attempt. The caller holds the lock.
func (f *Fleet) recordEnd(requestID string, attempt *engineAttempt) {
	if !attempt.ended {
		attempt.ended = true
		f.record(audit.EngineRecord{Engine: attempt.engineID, Event: audit.AttemptEnded, RequestID: requestID})
	}
}

// RouterClosed records that a router has closed the connection from this address to an engine, which may not have detected the
// close yet. All attempts on the connection have ended.
func (f *Fleet) RouterClosed(engineID, routerAddr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for requestID, request := range f.requests {
		for _, attempt := range request.attempts {
			if attempt.engineID == engineID && attempt.routerAddr == routerAddr {
				f.recordEnd(requestID, attempt)
			}
		}
	}
}

// callBeforeCloseDetected calls BeforeCloseDetected for a request. An engine calls it when the router has closed an
// attempt's connection.
func (f *Fleet) callBeforeCloseDetected(requestID string) {
	if f.BeforeCloseDetected == nil {
		return
	}
	f.mu.Lock()
	released := f.requestState(requestID).released
	f.mu.Unlock()
	f.BeforeCloseDetected(requestID, released)
}

func (f *Fleet) reserve(e *Engine, requestID string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	request := f.requestState(requestID)
	request.reservations = append(request.reservations, reservation{engineID: e.ID})
	f.record(audit.EngineRecord{Engine: e.ID, Event: audit.Reserved, RequestID: requestID, Decode: e.isDecode()})
}

// fetchReservation fetches a reservation of the attempt's request. It releases all reservations of the request and reports
// whether any was held.
func (f *Fleet) fetchReservation(e *Engine, requestID string, attempt *engineAttempt) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	request := f.requestState(requestID)
	attempt.awaitsReservation = false
	fetched := len(request.reservations) > 0
	if fetched {
		f.record(audit.EngineRecord{Engine: e.ID, Event: audit.Executed, RequestID: requestID, Decode: e.isDecode()})
	}
	f.release(request, requestID, releaseFetched)
	return fetched
}

// release releases all reservations of a request. The caller holds the lock.
func (f *Fleet) release(request *fleetRequest, requestID, detail string) {
	for _, held := range request.reservations {
		f.record(audit.EngineRecord{Engine: held.engineID, Event: audit.Released, RequestID: requestID, Detail: detail})
	}
	request.reservations = nil
}

// serveRelease releases a request's reservations at all engines, unless an attempt of the request awaits one.
func (e *Engine) serveRelease(w http.ResponseWriter, r *http.Request) {
	f, requestID := e.fleet, strings.TrimPrefix(r.URL.Path, platform.ReservationsPath)
	f.mu.Lock()
	defer f.mu.Unlock()
	request := f.requestState(requestID)
	if request.releases++; request.releases == 1 {
		close(request.released)
	}
	if !slices.ContainsFunc(request.attempts, func(a *engineAttempt) bool { return a.awaitsReservation }) {
		f.release(request, requestID, releaseDone)
	}
	w.WriteHeader(http.StatusNoContent)
}
