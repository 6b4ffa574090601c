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

// Fleet is a group of engines and their account of requests.
type Fleet struct {
	// BeforeNotice, if set, runs before an engine notices that a router has closed a connection with an attempt on it. The
	// channel is closed once a release of the request has reached any engine. Set it before Start.
	BeforeNotice func(request string, released <-chan struct{})

	log      *audit.Log
	mu       sync.Mutex
	requests map[string]*fleetRequest // by the router's request ID
}

// fleetRequest is what the engines of a fleet know of one request.
type fleetRequest struct {
	attempts     []*engineAttempt
	reservations []reservation
	releases     int
	released     chan struct{} // closed at the first release
}

// engineAttempt is one attempt that has reached an engine in full.
type engineAttempt struct {
	engineID          string
	routerAddr        string // the router's end of the connection
	awaitsReservation bool
	ended             bool
}

// reservation is the KV state that an engine holds for a request.
type reservation struct{ engineID string }

// NewFleet makes a fleet without engines. They record what they see in the log.
func NewFleet(log *audit.Log) *Fleet { return &Fleet{log: log, requests: map[string]*fleetRequest{}} }

// HeldReservations is how many reservations the fleet holds.
func (f *Fleet) HeldReservations() (count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, request := range f.requests {
		count += len(request.reservations)
	}
	return count
}

// Releases is how many releases have arrived, over all requests.
func (f *Fleet) Releases() (count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, request := range f.requests {
		count += request.releases
	}
	return count
}

// record records an event of an engine. The platform's clients and routers share one request ID.
func (f *Fleet) record(record audit.EngineRecord) {
	record.At, record.ClientRequestID = time.Now(), record.RequestID
	f.log.RecordEngine(record)
}

// request is the account of a request. The caller holds the lock.
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

// recordEnd records, once, that an attempt is not in flight any more. The caller holds the lock.
func (f *Fleet) recordEnd(requestID string, attempt *engineAttempt) {
	if !attempt.ended {
		attempt.ended = true
		f.record(audit.EngineRecord{Engine: attempt.engineID, Event: audit.AttemptEnded, RequestID: requestID})
	}
}

// RouterClosed reports that a router has closed its connection from this address to an engine, which may not have noticed
// it yet: no attempt on it is in flight any more.
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

// noticeDisconnect runs when an engine is about to notice that the router has closed an attempt's connection.
func (f *Fleet) callBeforeNotice(requestID string) {
	if f.BeforeNotice == nil {
		return
	}
	f.mu.Lock()
	released := f.requestState(requestID).released
	f.mu.Unlock()
	f.BeforeNotice(requestID, released)
}

func (f *Fleet) reserve(e *Engine, requestID string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	request := f.requestState(requestID)
	request.reservations = append(request.reservations, reservation{engineID: e.ID})
	f.record(audit.EngineRecord{Engine: e.ID, Event: audit.Reserved, RequestID: requestID, Decode: e.isDecode()})
}

// fetchReservation gives one reservation of a request to an attempt, releases all, and is whether there was one.
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

// serveRelease releases a request's reservations at all engines, unless an attempt of the request waits for one.
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
