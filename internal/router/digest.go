package router

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"sandcourse/internal/attempt"
)

// Fingerprint writes all that later events may hang on: the module's state, what is open, lines by what they carry
// and not by their numbers, timers by what they stand for. It is for explorers and decides nothing.
func (r *Router) Fingerprint(w io.Writer) {
	r.policy.Fingerprint(w)
	for _, id := range r.requestIDs() {
		req := r.requests[id]
		fmt.Fprintln(w, "inf", id, req.client.ID, req.streaming, req.outcome, req.transfer, r.now-req.arrivedAt,
			max(0, req.abandonedUntil-r.now))
		for _, att := range req.attempts {
			fmt.Fprintln(w, att.engine, att.decode, r.now-att.startedAt, att.machine, att.ended, att.verdict, att.responseHeads, r.now-att.lastTokenAt)
		}
	}
	var lines []string
	for _, id := range r.pool.IDs() {
		state, since := r.pool.StateSince(id)
		conn := r.engineConnections[id]
		if conn == nil {
			lines = append(lines, fmt.Sprintln("line without a socket", state))
			continue
		}
		carries := "nothing"
		if conn.attempt != nil {
			carries = fmt.Sprint("inf ", conn.attempt.request.id, " send ", conn.attempt.index)
		} else if conn.control != nil {
			carries = "control " + conn.control.describe()
		}
		lines = append(lines, fmt.Sprintln("line", conn.Engine, state, r.now-since, carries, conn.drainingSince > 0, conn.socket != nil,
			conn.reused, min(r.now-conn.writtenAt, staleConnectionWindow)))
	}
	fmt.Fprintln(w, r.pool.EarlyCloseFingerprint(r.now))
	for control := range r.controlRequests {
		lines = append(lines, fmt.Sprintln("control", control.engine, control.describe(), r.now-control.startedAt))
	}
	for _, t := range r.timers {
		if what := r.policy.DescribeTimer(t.token); what != "" {
			lines = append(lines, fmt.Sprintln("timer", t.at-r.now, what))
		}
	}
	for _, reserved := range r.reservations.All() {
		lines = append(lines, fmt.Sprintln("hold", reserved.Fingerprint(r.now)))
	}
	slices.Sort(lines)
	io.WriteString(w, strings.Join(lines, ""))
	for _, id := range slices.Sorted(maps.Keys(r.clients)) {
		client := r.clients[id]
		fmt.Fprintln(w, "client", id, client.serving, client.disconnected, client.closing, len(client.waiting))
	}
	for _, engine := range slices.Sorted(maps.Keys(r.drains)) {
		fmt.Fprintln(w, "told", engine, r.now-r.drains[engine])
	}
	for _, engine := range slices.Sorted(maps.Keys(r.starts.byEngine)) {
		fmt.Fprintln(w, "start", engine, r.now-r.starts.byEngine[engine].at)
	}
	fmt.Fprintln(w, r.reapedAt-r.now, r.policyIncarnation, r.listHistory.newestRevision-r.listHistory.latest.Revision, max(0, r.listHistory.recheckAt-r.now))
}

// describe tells control requests apart.
func (e *controlRequest) describe() string {
	if e.reservation == nil {
		return "probe"
	}
	return fmt.Sprint("release ", e.reservation.ID, " ", e.reservation.Round-e.round)
}

// OpenAttempt is one send as an explorer sees it.
type OpenAttempt struct {
	Request, Engine string
	Decode, Ended   bool
	State           attempt.State
	Verdict         string
}

// OpenAttempts lists, by inference, the sends of all that is open.
func (r *Router) OpenAttempts() (rows []OpenAttempt) {
	for _, id := range r.requestIDs() {
		for _, att := range r.requests[id].attempts {
			rows = append(rows, OpenAttempt{r.requests[id].name, att.engine, att.decode, att.ended, att.machine.State, verdictNames[att.verdict]})
		}
	}
	return rows
}

// FiredTransitions is which rows of the tables of brain, attempt and conns were taken so far, a bit each from bit 0.
func (r *Router) FiredTransitions() (brain, attempts, lines uint64) {
	return r.policy.FiredTransitions(), r.firedTransitions >> 1, r.pool.FiredTransitions()
}

// BusyConnections is how many lines carry something or wait for the rest of an answer.
func (r *Router) BusyConnections() (n int) {
	for _, conn := range r.engineConnections {
		if conn.attempt != nil || conn.control != nil || conn.drainingSince > 0 || conn.socket == nil {
			n++
		}
	}
	return n
}
