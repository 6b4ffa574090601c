package router

import (
	"cmp"
	"slices"

	"sandcourse/internal/attempt"
	"sandcourse/internal/reservation"
	"sandcourse/internal/routing"
)

// reservationsPerRequest bounds the states that are looked after by the calls that may be open: a call may have read twice, and
// as many calls that have ended may still have states to release.
const reservationsPerRequest = 4

// parallelReleases is how many engines a release goes to at a time, where any of them may take it: one that hangs must not
// cost the time of the next try.
const parallelReleases = 2

// recordReservation tells the table of holds what the outcome of an attempt says of the state that it made or asked for.
func (r *Router) recordReservation(att *engineAttempt, event attempt.Event, result attempt.Result) {
	req := att.request
	cancelled := result.MayLeaveReservation && event != attempt.ErrorStatus // without an engine's word for it
	if cancelled && r.config.ReleaseRepeatTime > 0 {
		// Engines are told the time of a request, and need some to notice its end.
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

// claimResult is what the outcome of an attempt that may have taken a state says of it.
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

// earliestEventTime is the earliest time at which what is handed over now may have happened.
func (r *Router) earliestEventTime() int64 {
	if r.earliestEvent == 0 {
		return r.now
	}
	return min(r.now, r.earliestEvent)
}

// releaseReservations has all states released that engines hold for an inference.
func (r *Router) releaseReservations(req *request) { r.updateReservations(req, reservation.Unneeded) }

func (r *Router) updateReservations(req *request, event reservation.Event) {
	times := reservation.EventTimes{Now: r.now, Since: r.earliestEventTime(), Horizon: req.abandonedUntil}
	for _, reserved := range r.reservations.HandleAttempt(req.name, event, times) {
		r.runReservation(reserved)
	}
}

// runReservation does what a hold asks for, if its time has come.
func (r *Router) runReservation(reserved *reservation.Reservation) {
	do, kept := r.reservations.HandleDue(reserved, r.now)
	switch kept {
	case reservation.Reserved:
		r.observer.ReservationChanged(ReleaseOverdue)
	case reservation.Claimed:
		r.observer.ReservationChanged(ReleaseUnconfirmed)
	}
	switch do {
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
		// Where only one engine can take it, every second try is on a connection of its own.
		fresh := !r.protocol.ReleaseReachesAllEngines() && len(reserved.ReleaseTargets)%2 == 1
		reserved.ReleaseTargets = append(reserved.ReleaseTargets, engine)
		r.startControl(&controlRequest{engine: engine, reservation: reserved, round: reserved.Round, newConnection: fresh})
	}
}

// releaseTargets are the engines that a release goes to now. Where any engine takes releases, that is the one that
// holds the state, and with it one that the node has a connection to; then those that answered last, as they run.
func (r *Router) releaseTargets(reserved *reservation.Reservation, first bool) []string {
	if !r.protocol.ReleaseReachesAllEngines() || r.endpoints == nil {
		return []string{reserved.Engine}
	}
	var engines []string
	for _, listed := range r.endpoints.Entries {
		engines = append(engines, listed.ID)
	}
	if len(reserved.ReleaseTargets) >= len(engines) {
		reserved.ReleaseTargets = reserved.ReleaseTargets[:0] // all were asked: from the beginning
	}
	engines = slices.DeleteFunc(engines, func(engine string) bool { return slices.Contains(reserved.ReleaseTargets, engine) })
	slices.SortStableFunc(engines, func(a, b string) int { return cmp.Compare(r.lastResponseAt[b], r.lastResponseAt[a]) })
	if i := slices.Index(engines, reserved.Engine); i >= 0 {
		engines = slices.Insert(slices.Delete(engines, i, i+1), 0, reserved.Engine)
	}
	if first { // a connection more for each release would be dear
		i := slices.IndexFunc(engines, func(engine string) bool {
			return engine != reserved.Engine && r.pool.HasReusable(engine, r.now, r.config.Connections.IdleTimeout)
		})
		if i < 0 {
			return engines[:min(1, len(engines))]
		}
		if engines[0] != reserved.Engine {
			return engines[i : i+1]
		}
		return []string{reserved.Engine, engines[i]}
	}
	return engines[:min(parallelReleases, len(engines))]
}

// releaseAcknowledged takes an engine's acknowledgement.
func (r *Router) releaseAcknowledged(control *controlRequest) {
	r.observer.ReservationChanged(ReleaseAcknowledged)
	r.reservations.Acknowledge(control.reservation, control.round, r.now)
}
