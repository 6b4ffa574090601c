package router

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"sandcourse/internal/attempt"
)

// Fingerprint writes all state that later events may depend on. The output identifies connections by what they carry and
// timers by their purpose, not by their IDs. It is used by model checkers, and no decision depends on it.
func (r *Router) Fingerprint(w io.Writer) {
	r.policy.Fingerprint(w)
	for _, id := range r.requests.ids() {
		req := r.requests.byID[id]
		fmt.Fprintln(w, "request", id, req.client.ID, req.streaming, req.outcome, req.reservationHandle, r.now-req.arrivedAt,
			max(0, req.mayStillRunUntil-r.now))
		for _, att := range req.attempts {
			fmt.Fprintln(w, att.engine, att.decode, r.now-att.startedAt, att.machine, att.ended, att.verdict,
				att.responseHeads, r.now-att.lastTokenAt)
		}
	}
	lines := r.fingerprintConnections()
	fmt.Fprintln(w, r.connections.EarlyCloseFingerprint(r.now))
	for control := range r.controlRequests {
		lines = append(lines, fmt.Sprintln("control", control.engine, control.describe(), r.now-control.startedAt))
	}
	for _, t := range r.policy.timers.heap {
		if purpose := r.policy.DescribeTimer(t.token); purpose != "" {
			lines = append(lines, fmt.Sprintln("timer", t.at-r.now, purpose))
		}
	}
	for _, reserved := range r.reservations.All() {
		lines = append(lines, fmt.Sprintln("reservation", reserved.Fingerprint(r.now)))
	}
	slices.Sort(lines)
	fmt.Fprint(w, strings.Join(lines, ""))
	for _, id := range r.clients.ids() {
		client := r.clients.byID[id]
		fmt.Fprintln(w, "client", id, client.serving, client.disconnected, client.closing, len(client.waiting))
	}
	r.endpoints.fingerprint(w, r.now)
	fmt.Fprintln(w, r.reapedAt-r.now, r.policy.restarts)
}

func (r *Router) fingerprintConnections() (lines []string) {
	for _, id := range r.connections.IDs() {
		state, since := r.connections.StateSince(id)
		conn := r.connections.byID[id]
		if conn == nil {
			lines = append(lines, fmt.Sprintln("connection without a socket", state))
			continue
		}
		assigned := "nothing"
		if conn.attempt != nil {
			assigned = fmt.Sprint("request ", conn.attempt.request.id, " attempt ", conn.attempt.index)
		} else if conn.control != nil {
			assigned = "control " + conn.control.describe()
		} else if att := conn.abandoned; att != nil {
			assigned = fmt.Sprint("abandoned ", att.request.name, " ", att.index, " ", max(0, att.mayRunUntil-r.now), " ",
				att.request.awaitedEnds, " ", max(0, att.request.unprovenUntil-r.now))
		}
		lines = append(lines, fmt.Sprintln("connection", conn.Engine, state, r.now-since, assigned, conn.drainingResponseSince > 0,
			conn.socket != nil, conn.reused, min(r.now-conn.writtenAt, staleConnectionWindow)))
	}
	return lines
}

func (e *endpointState) fingerprint(w io.Writer, now int64) {
	for _, engine := range slices.Sorted(maps.Keys(e.drains)) {
		fmt.Fprintln(w, "drain", engine, now-e.drains[engine])
	}
	for _, engine := range slices.Sorted(maps.Keys(e.starts.byEngine)) {
		fmt.Fprintln(w, "start", engine, now-e.starts.byEngine[engine].at)
	}
	fmt.Fprintln(w, "list", e.history.newestRevision-e.history.latest.Revision, max(0, e.history.reapplyAt-now))
}

// describe returns a text that distinguishes control requests.
func (c *controlRequest) describe() string {
	if c.reservation == nil {
		return "health check"
	}
	return fmt.Sprint("release ", c.reservation.ID, " ", c.reservation.Round-c.round)
}

// OpenAttempt describes one attempt of an open request, for model checkers.
type OpenAttempt struct {
	Request, Engine string
	Decode, Ended   bool
	State           attempt.State
	Verdict         Verdict
}

// OpenAttempts returns the attempts of all open requests, ordered by request.
func (r *Router) OpenAttempts() (attempts []OpenAttempt) {
	for _, id := range r.requests.ids() {
		req := r.requests.byID[id]
		for _, att := range req.attempts {
			attempts = append(attempts, OpenAttempt{Request: req.name, Engine: att.engine, Decode: att.decode, Ended: att.ended,
				State: att.machine.State, Verdict: verdicts[att.verdict]})
		}
	}
	return attempts
}

// FiredTransitions returns which transitions of the state machines of routing, attempts and connections have fired so far,
// as bit sets that start at bit 0.
func (r *Router) FiredTransitions() (policy, attempts, connections uint64) {
	return r.policy.FiredTransitions(), r.requests.attemptTransitions >> 1, r.connections.FiredTransitions()
}

// BusyConnections returns the number of connections to engines that carry a request, wait for the rest of a response, or
// are dialed.
func (r *Router) BusyConnections() (count int) {
	for _, conn := range r.connections.byID {
		if conn.attempt != nil || conn.control != nil || conn.drainingResponseSince > 0 || conn.abandoned != nil || conn.socket == nil {
			count++
		}
	}
	return count
}
