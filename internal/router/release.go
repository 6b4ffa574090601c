package router

import (
	"cmp"
	"slices"

	"sandcourse/internal/attempt"
	"sandcourse/internal/reservation"
	"sandcourse/internal/routing"
)

// holdsAnOpenCall bounds the states that are looked after by the calls that may be open: a call may have read twice, and
// as many calls that have ended may still have states to release.
const holdsAnOpenCall = 4

// releasesAtOnce is how many engines a release goes to at a time, where any of them may take it: one that hangs must not
// cost the time of the next try.
const releasesAtOnce = 2

// noteOutcome tells the table of holds what the outcome of an attempt says of the state that it made or asked for.
func (o *Core) noteOutcome(s *send, in attempt.Input, r attempt.Result) {
	inf := s.inf
	cut := r.Leaves && in != attempt.Failed // without an engine's word for it
	if cut && o.d.ReleaseRepeatTime > 0 {
		// Engines are told the time of a request, and need some to notice its end.
		inf.cutUntil = max(o.now+int64(o.d.ReleaseRepeatTime), inf.giveUpAt+int64(o.d.Rules.ReservationLimit))
	}
	switch {
	case s.writes:
		o.changeHolds(inf, claimEnded(r.Verdict, cut))
	case r.Verdict == routing.PrefillDone:
		o.addHold(s, reservation.ReadDone)
	case r.Leaves:
		o.addHold(s, reservation.ReadLost)
	}
}

func (o *Core) addHold(s *send, in reservation.Input) {
	id := reservation.ID{Request: s.inf.name, Attempt: s.n}
	h := o.holds.Add(id, s.engine, in, o.now, max(s.wroteAt, o.sinceWhen()), s.inf.cutUntil)
	if h == nil {
		o.watch.Released(ReleaseNoRoom)
		return
	}
	o.release(h)
}

// claimEnded is what the outcome of an attempt that may have taken a state says of it.
func claimEnded(verdict routing.Verdict, cut bool) reservation.Input {
	switch {
	case verdict == routing.Completed:
		return reservation.Taken
	case verdict == routing.NotConnected || verdict == routing.NotSent:
		return reservation.AttemptUnsent
	case cut:
		return reservation.AttemptCut
	}
	return reservation.AttemptRefused
}

// sinceWhen is the earliest time at which what is handed over now may have happened.
func (o *Core) sinceWhen() int64 {
	if o.eventsSince == 0 {
		return o.now
	}
	return min(o.now, o.eventsSince)
}

// letGo has all states released that engines hold for an inference.
func (o *Core) letGo(inf *inference) { o.changeHolds(inf, reservation.Unwanted) }

func (o *Core) changeHolds(inf *inference, in reservation.Input) {
	for _, h := range o.holds.Attempt(inf.name, in, o.now, o.sinceWhen(), inf.cutUntil) {
		o.release(h)
	}
}

// release does what a hold asks for, if its time has come.
func (o *Core) release(h *reservation.Hold) {
	do, kept := o.holds.Run(h, o.now)
	switch kept {
	case reservation.Held:
		o.watch.Released(ReleaseOverdue)
	case reservation.Claimed:
		o.watch.Released(ReleaseUnconfirmed)
	}
	switch do {
	case reservation.Release:
		o.sendReleases(h)
	case reservation.Abandon:
		o.watch.Released(ReleaseGivenUp)
	}
}

func (o *Core) sendReleases(h *reservation.Hold) {
	first := len(h.Asked) == 0
	if first {
		o.watch.Released(ReleaseSent)
	}
	for _, engine := range o.releaseTargets(h, first) {
		// Where only one engine can take it, every second try is on a connection of its own.
		fresh := !o.protocol.ReleaseReachesAllEngines() && len(h.Asked)%2 == 1
		h.Asked = append(h.Asked, engine)
		o.startControl(&controlRequest{engine: engine, hold: h, round: h.Round, fresh: fresh})
	}
}

// releaseTargets are the engines that a release goes to now. Where any engine takes releases, that is the one that
// holds the state, and with it one that the node has a connection to; then those that answered last, as they run.
func (o *Core) releaseTargets(h *reservation.Hold, first bool) []string {
	if !o.protocol.ReleaseReachesAllEngines() || o.list == nil {
		return []string{h.Engine}
	}
	var row []string
	for _, listed := range o.list.Entries {
		row = append(row, listed.ID)
	}
	if len(h.Asked) >= len(row) {
		h.Asked = h.Asked[:0] // all were asked: from the beginning
	}
	row = slices.DeleteFunc(row, func(engine string) bool { return slices.Contains(h.Asked, engine) })
	slices.SortStableFunc(row, func(a, b string) int { return cmp.Compare(o.answeredAt[b], o.answeredAt[a]) })
	if i := slices.Index(row, h.Engine); i >= 0 {
		row = slices.Insert(slices.Delete(row, i, i+1), 0, h.Engine)
	}
	if first { // a connection more for each release would be dear
		i := slices.IndexFunc(row, func(engine string) bool {
			return engine != h.Engine && o.pool.Rests(engine, o.now, int64(o.d.Connections.IdleTimeout))
		})
		if i < 0 {
			return row[:min(1, len(row))]
		}
		if row[0] != h.Engine {
			return row[i : i+1]
		}
		return []string{h.Engine, row[i]}
	}
	return row[:min(releasesAtOnce, len(row))]
}

// released takes an engine's acknowledgement.
func (o *Core) released(e *controlRequest) {
	o.watch.Released(ReleaseAcknowledged)
	o.holds.Acknowledge(e.hold, e.round, o.now)
}
