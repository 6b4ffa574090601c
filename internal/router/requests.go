package router

import (
	"maps"
	"slices"

	"sandcourse/internal/invariant"
	"sandcourse/internal/protocol"
)

// request is one request of a client that engines are to serve. It is kept from its arrival until it is answered and none
// of its attempts is in flight.
type request struct {
	id                int64
	name              string // identifies the request to engines
	client            *ClientConnection
	received          *ClientRequest
	route             int
	arrivedAt         int64
	deadline          int64
	attempts          []*engineAttempt
	reservationHandle protocol.ReservationHandle // the reservation of the prefill engine; nil before the prefill is done
	collector         protocol.Collector         // collects the answer if the client wants a complete one; nil for a stream
	streaming         bool                       // the first token was received
	firstTokenAt      int64
	mayStillRunUntil  int64          // latest time at which an attempt with an unknown outcome may run; 0 without such attempts
	awaitedEnds       int            // number of abandoned attempts whose engines are expected to end them
	unprovenUntil     int64          // the same as mayStillRunUntil for the attempts whose engines have not ended them
	tokens            int            // number of tokens forwarded by the router; relays count those that they forward
	outcome           RequestOutcome // outcome of the request; empty until the request has ended
	cause             string         // the policy's reason for ending the request; empty if it did not
}

// forwardsTokens reports whether tokens are forwarded to the client as they arrive.
func (req *request) forwardsTokens() bool { return req.collector == nil && req.outcome == "" }

// hasAttemptInFlight reports whether an attempt of the request has not ended.
func (req *request) hasAttemptInFlight() bool {
	return slices.ContainsFunc(req.attempts, func(att *engineAttempt) bool { return !att.ended })
}

// wasWritten reports whether any part of the request was written to an engine.
func (req *request) wasWritten() bool {
	return slices.ContainsFunc(req.attempts, func(att *engineAttempt) bool { return att.writtenAt > 0 })
}

// requestTable holds the open requests.
type requestTable struct {
	byID        map[int64]*request
	byName      map[string]*request
	recentNames recentNames // names that clients have sent
	lastID      int64
	// justFinished holds the requests that were answered while the current policy event is handled.
	justFinished       []*request
	attemptTransitions uint64 // fired transitions of the attempt state machine, one bit each, from bit 1
}

func newRequestTable() requestTable {
	return requestTable{byID: map[int64]*request{}, byName: map[string]*request{}}
}

// ids returns the IDs of the open requests in the order of their arrival.
func (t *requestTable) ids() []int64 {
	ids := slices.AppendSeq(make([]int64, 0, len(t.byID)), maps.Keys(t.byID))
	slices.Sort(ids)
	return ids
}

// isKnown reports whether an open request, or one of the last few thousand requests, has this name.
func (t *requestTable) isKnown(name string) bool {
	return t.byName[name] != nil || t.recentNames.contains(name)
}

func (t *requestTable) add(req *request) { t.byID[req.id], t.byName[req.name] = req, req }

func (t *requestTable) remove(req *request) {
	delete(t.byID, req.id)
	delete(t.byName, req.name)
}

// effect returns the effect of running a request of the route a second time.
func (r *Router) effect(route int) invariant.Effect {
	return invariant.ParseEffect(string(r.config.Routes[route].Effect))
}

// isRetriable reports whether the requests of a route may run twice.
func (r *Router) isRetriable(route int) bool { return r.effect(route) == invariant.Retriable }

// deadlinePassed reports whether the deadline of a request has passed or is about to pass.
func (r *Router) deadlinePassed(req *request) bool {
	return r.now >= req.deadline-4*int64(r.config.TickInterval)
}

// removeIfFinished removes a request if it has an outcome and no attempt in flight.
func (r *Router) removeIfFinished(req *request) {
	if req.outcome != "" && !req.hasAttemptInFlight() {
		r.removeRequest(req)
	}
}

func (r *Router) removeRequest(req *request) {
	r.requests.remove(req)
	r.monitor.Forget(req.id)
}
