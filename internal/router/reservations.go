package router

import (
	"sandcourse/internal/attempt"
	"sandcourse/internal/config"
	"sandcourse/internal/protocol"
	"sandcourse/internal/reservation"
	"sandcourse/internal/routing"
)

// reservationsPerRequest limits the tracked reservations, as a multiple of the open requests that are allowed: a request
// may have two prefills, and just as many ended requests may still have reservations to release.
const reservationsPerRequest = 4

// parallelReleases is how many engines a release is sent to at a time if every engine can handle it: an engine that hangs
// must not delay the release at the next one.
const parallelReleases = 2

// maxReleasesPerTurn is how many reservations are released between two looks at the input. A release takes some ten microseconds.
const maxReleasesPerTurn = 8

func newReservationTable(cfg *config.Deployment, codec protocol.Codec) *reservation.Table {
	return reservation.New(reservation.LimitsFor(cfg.Rules.ReservationLimit, codec.ReleaseReachesAllEngines(),
		reservationsPerRequest*cfg.Limits.OpenRequests))
}

// recordReservation updates the reservation that an attempt made or claimed according to the outcome of the attempt.
func (r *Router) recordReservation(att *engineAttempt, event attempt.Event, result attempt.Result) {
	req := att.request
	outcomeUnknown := result.MayLeaveReservation && event != attempt.ErrorStatus // No status of the engine was received.
	if outcomeUnknown && r.config.ReleaseRepeatTime > 0 {
		r.recordAbandonedAttempt(att)
	}
	switch {
	case att.decode:
		r.updateReservations(req, claimEvent(result.Verdict, outcomeUnknown))
	case result.Verdict == routing.PrefillDone:
		r.addReservation(att, reservation.PrefillDone)
	case result.MayLeaveReservation:
		r.addReservation(att, reservation.PrefillLost)
	}
}

func (r *Router) addReservation(att *engineAttempt, event reservation.Event) {
	id := reservation.ID{Request: att.request.name, Attempt: att.index}
	times := r.reservationTimes(att.request)
	times.Since = max(att.writtenAt, times.Since)
	reserved := r.reservations.Add(id, att.engine, event, times)
	if reserved == nil {
		r.observer.ReservationChanged(ReleaseTableFull)
		return
	}
	r.advanceReservation(reserved)
}

// claimEvent returns the reservation event that follows from the verdict of a decode, which may have claimed the reservation.
func claimEvent(verdict routing.Verdict, outcomeUnknown bool) reservation.Event {
	switch {
	case verdict == routing.Completed:
		return reservation.Consumed
	case verdict == routing.NotConnected || verdict == routing.NotSent:
		return reservation.AttemptUnsent
	case outcomeUnknown:
		return reservation.AttemptAbandoned
	}
	return reservation.AttemptRejected
}

// releaseReservations releases all reservations that engines hold for a request.
func (r *Router) releaseReservations(req *request) { r.updateReservations(req, reservation.Unneeded) }

func (r *Router) updateReservations(req *request, event reservation.Event) {
	for _, reserved := range r.reservations.HandleAttempt(req.name, event, r.reservationTimes(req)) {
		r.advanceReservation(reserved)
	}
}

// reservationTimes returns the times of an event of a request's attempts.
func (r *Router) reservationTimes(req *request) reservation.EventTimes {
	times := reservation.EventTimes{Now: r.now, Since: r.earliestEventTime(), Horizon: req.mayStillRunUntil}
	if req.awaitedEnds > 0 {
		times.ReleaseAt = r.now + int64(releaseDelay)
	}
	return times
}

// advanceDueReservations performs the actions that are due for reservations, those that have been due for longest first. What is
// more than maxReleasesPerTurn waits for the next turn: the responses and requests that wait for the router come before it.
func (r *Router) advanceDueReservations() {
	for range maxReleasesPerTurn {
		reserved := r.reservations.FirstDue(r.now)
		if reserved == nil {
			return
		}
		r.advanceReservation(reserved)
	}
}

// advanceReservation performs the action that is due for a reservation.
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
	first := len(reserved.ReleaseTargets) == 0
	if first {
		r.observer.ReservationChanged(ReleaseSent)
	}
	for _, engine := range r.releaseTargets(reserved, first) {
		// If only one engine can handle the release, every second one is sent on a new connection.
		newConnection := !r.protocol.ReleaseReachesAllEngines() && len(reserved.ReleaseTargets)%2 == 1
		reserved.ReleaseTargets = append(reserved.ReleaseTargets, engine)
		r.startControlRequest(&controlRequest{engine: engine, reservation: reserved, round: reserved.Round, newConnection: newConnection})
	}
}

// releaseTargets returns the engines that a release is sent to now: only the engine that holds the reservation, unless every
// engine can handle the release.
func (r *Router) releaseTargets(reserved *reservation.Reservation, first bool) []string {
	if !r.protocol.ReleaseReachesAllEngines() || r.endpoints.current == nil {
		return []string{reserved.Engine}
	}
	return r.targetsAmongAllEngines(reserved, first)
}

// targetsAmongAllEngines returns the targets of a release that every engine can handle. The first release is sent to the engine
// that holds the reservation and to one with an idle connection, unacknowledged ones then to those that responded last.
func (r *Router) targetsAmongAllEngines(reserved *reservation.Reservation, first bool) []string {
	if !first {
		return r.releaseCandidates(reserved, parallelReleases)
	}
	if reserved.AttemptsEnded() || reserved.Acknowledged() {
		return r.promptTarget(reserved)
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

// promptTarget returns the one target of a release after the end of all attempts, or of a repeated release: the engine that
// completed a response last, or else the first candidate. If it does not acknowledge, others follow.
func (r *Router) promptTarget(reserved *reservation.Reservation) []string {
	if connected := r.latestConnectedResponder(""); connected != "" {
		return []string{connected}
	}
	return r.releaseCandidates(reserved, 1)
}

// latestConnectedResponder returns, of the listed engines with an idle connection, the one that completed a response last; empty
// if no engine other than except has one.
func (r *Router) latestConnectedResponder(except string) string {
	return r.connections.LatestIdleEngine(r.now, r.config.Connections.IdleTimeout,
		func(engine string) bool { return engine != except && r.endpoints.isListed(engine) })
}

// releaseCandidates returns the next listed engines that the release was not sent to yet; once it was sent to all, the
// list starts over. The engine that holds the reservation is first, followed by those that responded last.
func (r *Router) releaseCandidates(reserved *reservation.Reservation, count int) (candidates []string) {
	if len(reserved.ReleaseTargets) >= len(r.endpoints.current.Entries) {
		reserved.ReleaseTargets = reserved.ReleaseTargets[:0]
	}
	excluded := map[string]bool{} // engines that the release was sent to, or that are candidates already
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

// nextReleaseCandidate returns the first listed engine that is not excluded; empty if all are excluded.
func (r *Router) nextReleaseCandidate(reservingEngine string, excluded map[string]bool) string {
	isCandidate := func(engine string) bool { return !excluded[engine] && r.endpoints.isListed(engine) }
	if isCandidate(reservingEngine) {
		return reservingEngine
	}
	if next := r.endpoints.responders.first(isCandidate); next != "" {
		return next
	}
	for _, entry := range r.endpoints.current.Entries { // engines that never responded
		if !excluded[entry.ID] {
			return entry.ID
		}
	}
	return ""
}

// handleReleaseAcknowledged handles an engine's acknowledgement of a release.
func (r *Router) handleReleaseAcknowledged(control *controlRequest) {
	r.observer.ReservationChanged(ReleaseAcknowledged)
	r.reservations.Acknowledge(control.reservation, control.round, r.now)
}
