package router

import (
	"cmp"
	"slices"

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
		req.abandonedUntil = max(r.now+int64(r.config.ReleaseRepeatTime), req.deadline+int64(r.config.Rules.ReservationLimit))
	}
	switch {
	case att.decode:
		r.updateReservations(req, claimResult(result.Verdict, cancelled))
	case result.Verdict == routing.PrefillDone:
		r.addReservation(att, reservation.PrefillDone)
	case result.MayLeaveReservation:
		r.addReservation(att, reservation.PrefillLost)
	}
}

func (r *Router) addReservation(att *engineAttempt, event reservation.Event) {
	id := reservation.ID{Request: att.request.name, Attempt: att.index}
	reserved := r.reservations.Add(id, att.engine, event, reservation.EventTimes{Now: r.now,
		Since: max(att.writtenAt, r.earliestEventTime()), Horizon: att.request.abandonedUntil})
	if reserved == nil {
		r.observer.ReservationChanged(ReleaseTableFull)
		return
	}
	r.runReservation(reserved)
}

// claimResult is what the verdict of a decode says of the reservation that it may have claimed.
func claimResult(verdict routing.Verdict, cancelled bool) reservation.Event {
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
	times := reservation.EventTimes{Now: r.now, Since: r.earliestEventTime(), Horizon: req.abandonedUntil}
	for _, reserved := range r.reservations.HandleAttempt(req.name, event, times) {
		r.runReservation(reserved)
	}
}

// runReservation does what is due for a reservation.
func (r *Router) runReservation(reserved *reservation.Reservation) {
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
		// Where only one engine can handle it, every second release is on a connection of its own.
		newConnection := !r.protocol.ReleaseReachesAllEngines() && len(reserved.ReleaseTargets)%2 == 1
		reserved.ReleaseTargets = append(reserved.ReleaseTargets, engine)
		r.startControlRequest(&controlRequest{engine: engine, reservation: reserved, round: reserved.Round, newConnection: newConnection})
	}
}

// releaseTargets are the engines that a release goes to now. Where any engine handles releases, that is the one that holds the
// reservation, and with the first release one that there is an idle connection to; with later ones, those that answered last.
func (r *Router) releaseTargets(reserved *reservation.Reservation, first bool) []string {
	if !r.protocol.ReleaseReachesAllEngines() || r.endpoints.current == nil {
		return []string{reserved.Engine}
	}
	engines := r.releaseCandidates(reserved)
	if !first {
		return engines[:min(parallelReleases, len(engines))]
	}
	// A new connection for each release would cost too much.
	connected := slices.IndexFunc(engines, func(engine string) bool {
		return engine != reserved.Engine && r.connections.HasReusable(engine, r.now, r.config.Connections.IdleTimeout)
	})
	switch {
	case connected < 0:
		return engines[:min(1, len(engines))]
	case engines[0] != reserved.Engine:
		return engines[connected : connected+1]
	}
	return []string{reserved.Engine, engines[connected]}
}

// releaseCandidates are the listed engines that the release has not gone to yet; once it has gone to all, it starts over. The
// engine that holds the reservation comes first, then those that answered last.
func (r *Router) releaseCandidates(reserved *reservation.Reservation) []string {
	entries := r.endpoints.current.Entries
	if len(reserved.ReleaseTargets) >= len(entries) {
		reserved.ReleaseTargets = reserved.ReleaseTargets[:0]
	}
	var engines []string
	for _, entry := range entries {
		if !slices.Contains(reserved.ReleaseTargets, entry.ID) {
			engines = append(engines, entry.ID)
		}
	}
	slices.SortStableFunc(engines, func(a, b string) int {
		return cmp.Compare(r.endpoints.lastResponseAt[b], r.endpoints.lastResponseAt[a])
	})
	if i := slices.Index(engines, reserved.Engine); i >= 0 {
		engines = slices.Insert(slices.Delete(engines, i, i+1), 0, reserved.Engine)
	}
	return engines
}

// releaseAcknowledged handles an engine's acknowledgement of a release.
func (r *Router) releaseAcknowledged(control *controlRequest) {
	r.observer.ReservationChanged(ReleaseAcknowledged)
	r.reservations.Acknowledge(control.reservation, control.round, r.now)
}
