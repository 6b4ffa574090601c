package router

import (
	"cmp"

	"sandcourse/internal/attempt"
	"sandcourse/internal/config"
	"sandcourse/internal/protocol"
	"sandcourse/internal/reservation"
	"sandcourse/internal/routing"
)

// reservationsPerRequest bounds the reservations that are tracked by the requests that may be open: a request may have two
// prefills, and as many requests that have ended may still have reservations to release.
const reservationsPerRequest = 4

// parallelReleases is how many engines a release goes to at a time, where any of them may handle it: one that hangs must not
// delay the next.
const parallelReleases = 2

func newReservationTable(cfg *config.Deployment, codec protocol.Codec) *reservation.Table {
	return reservation.New(reservation.LimitsFor(cfg.Rules.ReservationLimit, codec.ReleaseReachesAllEngines(),
		reservationsPerRequest*cfg.Limits.OpenRequests))
}

// recordReservation notes what the outcome of an attempt says of the reservation that it made or claimed.
func (r *Router) recordReservation(att *engineAttempt, event attempt.Event, result attempt.Result) {
	req := att.request
	cancelled := result.MayLeaveReservation && event != attempt.ErrorStatus // without an answer of the engine
	if cancelled && r.config.ReleaseRepeatTime > 0 {
		// Engines know the timeout of a request, and need some time to notice that it has passed.
		req.mayStillRunUntil = max(r.now+int64(r.config.ReleaseRepeatTime), req.deadline+int64(r.config.Rules.ReservationLimit))
	}
	switch {
	case att.decode:
		r.updateReservations(req, claimEvent(result.Verdict, cancelled))
	case result.Verdict == routing.PrefillDone:
		r.addReservation(att, reservation.PrefillDone)
	case result.MayLeaveReservation:
		r.addReservation(att, reservation.PrefillLost)
	}
}

func (r *Router) addReservation(att *engineAttempt, event reservation.Event) {
	id := reservation.ID{Request: att.request.name, Attempt: att.index}
	reserved := r.reservations.Add(id, att.engine, event, reservation.EventTimes{Now: r.now,
		Since: max(att.writtenAt, r.earliestEventTime()), Horizon: att.request.mayStillRunUntil})
	if reserved == nil {
		r.observer.ReservationChanged(ReleaseTableFull)
		return
	}
	r.advanceReservation(reserved)
}

// claimResult is what the verdict of a decode says of the reservation that it may have claimed.
func claimEvent(verdict routing.Verdict, cancelled bool) reservation.Event {
	switch {
	case verdict == routing.Completed:
		return reservation.Consumed
	case verdict == routing.NotConnected || verdict == routing.NotSent:
		return reservation.AttemptUnsent
	case cancelled:
		return reservation.AttemptAbandoned
	}
	return reservation.AttemptRejected
}

// releaseReservations releases all reservations that engines hold for a request.
func (r *Router) releaseReservations(req *request) { r.updateReservations(req, reservation.Unneeded) }

func (r *Router) updateReservations(req *request, event reservation.Event) {
	times := reservation.EventTimes{Now: r.now, Since: r.earliestEventTime(), Horizon: req.mayStillRunUntil}
	for _, reserved := range r.reservations.HandleAttempt(req.name, event, times) {
		r.advanceReservation(reserved)
	}
}

// runReservation does what is due for a reservation.
func (r *Router) advanceReservation(reserved *reservation.Reservation) {
	action, expiredState := r.reservations.HandleDue(reserved, r.now)
	switch expiredState {
	case reservation.Reserved:
		r.observer.ReservationChanged(ReleaseOverdue)
	case reservation.Claimed:
		r.observer.ReservationChanged(ReleaseUnconfirmed)
	}
	switch action {
	case reservation.Release:
		r.sendReleases(reserved)
	case reservation.Abandon:
		r.observer.ReservationChanged(ReleaseAbandoned)
	}
}

func (r *Router) sendReleases(reserved *reservation.Reservation) {
	isFirst := len(reserved.ReleaseTargets) == 0
	if isFirst {
		r.observer.ReservationChanged(ReleaseSent)
	}
	for _, engine := range r.releaseTargets(reserved, isFirst) {
		// Where only one engine can handle it, every second release is on a connection of its own.
		newConnection := !r.protocol.ReleaseReachesAllEngines() && len(reserved.ReleaseTargets)%2 == 1
		reserved.ReleaseTargets = append(reserved.ReleaseTargets, engine)
		r.startControlRequest(&controlRequest{engine: engine, reservation: reserved, round: reserved.Round, newConnection: newConnection})
	}
}

// releaseTargets are the engines that a release goes to now. Where any engine handles releases, that is the one that holds the
// reservation, and with the first release one that there is an idle connection to; with later ones, those that answered last.
func (r *Router) releaseTargets(reserved *reservation.Reservation, isFirst bool) []string {
	if !r.protocol.ReleaseReachesAllEngines() || r.endpoints.current == nil {
		return []string{reserved.Engine}
	}
	return r.targetsAmongAllEngines(reserved, isFirst)
}

// anyEngineTargets are those of a release that any engine handles.
func (r *Router) targetsAmongAllEngines(reserved *reservation.Reservation, isFirst bool) []string {
	if !isFirst {
		return r.releaseCandidates(reserved, parallelReleases)
	}
	// A new connection for each release would cost too much.
	candidates, connectedEngine := r.releaseCandidates(reserved, 1), r.latestConnectedResponder(reserved.Engine)
	switch {
	case connectedEngine == "":
		return candidates
	case !r.endpoints.isListed(reserved.Engine):
		return []string{connectedEngine}
	}
	return []string{reserved.Engine, connectedEngine}
}

// lastAnsweringConnected is the engine, of those other than one that an idle connection is open to, that answered last; empty
// where there is none.
func (r *Router) latestConnectedResponder(except string) (last string) {
	for _, engine := range r.connections.ReusableEngines(r.now, r.config.Connections.IdleTimeout) {
		if engine != except && r.endpoints.isListed(engine) && (last == "" || r.endpoints.respondedLater(engine, last)) {
			last = engine
		}
	}
	return last
}

// answeredLater is whether an engine answered later than another. Of two that answered at once, or never, the first by ID
// counts as later.
func (e *endpointState) respondedLater(engine, other string) bool {
	return cmp.Or(cmp.Compare(e.lastResponseAt[other], e.lastResponseAt[engine]), cmp.Compare(engine, other)) < 0
}

// releaseCandidates are the next listed engines that the release has not gone to yet; once it has gone to all, it starts over.
// The engine that holds the reservation comes first, then those that answered last.
func (r *Router) releaseCandidates(reserved *reservation.Reservation, count int) (candidates []string) {
	if len(reserved.ReleaseTargets) >= len(r.endpoints.current.Entries) {
		reserved.ReleaseTargets = reserved.ReleaseTargets[:0]
	}
	excluded := map[string]bool{} // that the release has gone to, or that are candidates already
	for _, engine := range reserved.ReleaseTargets {
		excluded[engine] = true
	}
	for len(candidates) < count {
		next := r.nextReleaseCandidate(reserved.Engine, excluded)
		if next == "" {
			break
		}
		excluded[next] = true
		candidates = append(candidates, next)
	}
	return candidates
}

// nextReleaseCandidate is the first listed engine that is not passed; empty where there is none.
func (r *Router) nextReleaseCandidate(holder string, excluded map[string]bool) (next string) {
	isCandidate := func(engine string) bool { return !excluded[engine] && r.endpoints.isListed(engine) }
	if isCandidate(holder) {
		return holder
	}
	for engine := range r.endpoints.lastResponseAt {
		if isCandidate(engine) && (next == "" || r.endpoints.respondedLater(engine, next)) {
			next = engine
		}
	}
	if next != "" {
		return next
	}
	for _, entry := range r.endpoints.current.Entries { // those that never answered
		if !excluded[entry.ID] {
			return entry.ID
		}
	}
	return ""
}

// releaseAcknowledged handles an engine's acknowledgement of a release.
func (r *Router) handleReleaseAcknowledged(control *controlRequest) {
	r.observer.ReservationChanged(ReleaseAcknowledged)
	r.reservations.Acknowledge(control.reservation, control.round, r.now)
}
