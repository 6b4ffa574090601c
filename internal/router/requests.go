package router

import (
	"maps"
	"slices"

	"sandcourse/internal/invariant"
	"sandcourse/internal/protocol"
)

// request is one request of a client that engines are to serve, from its arrival until it is answered and none of its
// attempts is in flight.
type request struct {
	id               int64
	name             string // as engines know it
	client           *ClientConnection
	received         *ClientRequest
	route            int
	arrivedAt        int64
	deadline         int64
	attempts         []*engineAttempt
	transfer         protocol.ReservationHandle // what the prefill engine reserved; nil before
	collector        protocol.Collector         // where the client wants one complete answer; nil for a stream
	streaming        bool                       // its first token has come
	firstTokenAt     int64
	mayStillRunUntil int64          // until when a cancelled attempt may still act at its engine; 0 where there is none
	tokens           int            // forwarded by the router; relays count theirs
	outcome          RequestOutcome // empty until it has one
	cause            string         // what made the policy end it; empty where it did not
}

// forwardsTokens is whether tokens are forwarded to the client as they come.
func (req *request) forwardsTokens() bool { return req.collector == nil && req.outcome == "" }

// inFlight is whether an attempt has not ended.
func (req *request) inFlight() bool {
	return slices.ContainsFunc(req.attempts, func(att *engineAttempt) bool { return !att.ended })
}

// wasSent is whether anything of the request was written to an engine.
func (req *request) wasSent() bool {
	return slices.ContainsFunc(req.attempts, func(att *engineAttempt) bool { return att.writtenAt > 0 })
}

// requestTable are the open requests.
type requestTable struct {
	byID        map[int64]*request
	byName      map[string]*request
	recentNames recentNames // that clients have given
	lastID      int64
	// justFinished are those that were answered while the present event of the policy is handled.
	justFinished       []*request
	attemptTransitions uint64 // transitions of the attempt state machine that have fired, a bit each, from bit 1
}

func newRequestTable() requestTable {
	return requestTable{byID: map[int64]*request{}, byName: map[string]*request{}}
}

// ids are the open requests in the order of their arrival.
func (t *requestTable) ids() []int64 {
	ids := slices.AppendSeq(make([]int64, 0, len(t.byID)), maps.Keys(t.byID))
	slices.Sort(ids)
	return ids
}

// isKnown is whether a request has this name: an open one, or one of the last few thousand.
func (t *requestTable) isKnown(name string) bool {
	return t.byName[name] != nil || t.recentNames.contains(name)
}

func (t *requestTable) add(req *request) { t.byID[req.id], t.byName[req.name] = req, req }

func (t *requestTable) remove(req *request) {
	delete(t.byID, req.id)
	delete(t.byName, req.name)
}

// effect is what a second run of the requests of a route would do.
func (r *Router) effect(route int) invariant.Effect {
	return invariant.ParseEffect(string(r.config.Routes[route].Effect))
}

// retriable is whether the requests of a route may run twice.
func (r *Router) retriable(route int) bool { return r.effect(route) == invariant.Retriable }

// deadlinePassed is whether the deadline of a request has passed, or is about to.
func (r *Router) deadlinePassed(req *request) bool {
	return r.now >= req.deadline-4*int64(r.config.TickInterval)
}

// forgetRequest drops a request that is answered and has no attempt in flight.
func (r *Router) forgetIfFinished(req *request) {
	if req.outcome != "" && !req.inFlight() {
		r.removeRequest(req)
	}
}

func (r *Router) removeRequest(req *request) {
	r.requests.remove(req)
	r.monitor.Forget(req.id)
}
