package router

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"sandcourse/internal/attempt"
)

// Digest writes all that later events may hang on: the module's state, what is open, lines by what they carry
// and not by their numbers, timers by what they stand for. It is for explorers and decides nothing.
func (o *Core) Digest(w io.Writer) {
	o.brain.Fingerprint(w)
	for _, id := range o.ids() {
		inf := o.infs[id]
		fmt.Fprintln(w, "inf", id, inf.client.ID, inf.began, inf.final, inf.transfer, o.now-inf.at,
			max(0, inf.cutUntil-o.now))
		for _, s := range inf.sends {
			fmt.Fprintln(w, s.engine, s.writes, o.now-s.at, s.machine, s.ended, s.verdict, s.heads, o.now-s.lastToken)
		}
	}
	var rows []string
	for _, id := range o.pool.All() {
		state, since := o.pool.Look(id)
		l := o.lines[id]
		if l == nil {
			rows = append(rows, fmt.Sprintln("line without a socket", state))
			continue
		}
		carries := "nothing"
		if l.send != nil {
			carries = fmt.Sprint("inf ", l.send.inf.id, " send ", l.send.n)
		} else if l.control != nil {
			carries = "control " + l.control.what()
		}
		rows = append(rows, fmt.Sprintln("line", l.Engine, state, o.now-since, carries, l.restSince > 0, l.socket != nil,
			l.again, min(o.now-l.wroteAt, atOnce)))
	}
	fmt.Fprintln(w, o.pool.HastyFor(o.now))
	for e := range o.controls {
		rows = append(rows, fmt.Sprintln("control", e.engine, e.what(), o.now-e.at))
	}
	for _, t := range o.timers {
		if what := o.brain.DescribeTimer(t.token); what != "" {
			rows = append(rows, fmt.Sprintln("timer", t.at-o.now, what))
		}
	}
	for _, h := range o.holds.All() {
		rows = append(rows, fmt.Sprintln("hold", h.Describe(o.now)))
	}
	slices.Sort(rows)
	io.WriteString(w, strings.Join(rows, ""))
	for _, id := range slices.Sorted(maps.Keys(o.clients)) {
		c := o.clients[id]
		fmt.Fprintln(w, "client", id, c.serving, c.gone, c.closing, len(c.waiting))
	}
	for _, engine := range slices.Sorted(maps.Keys(o.told)) {
		fmt.Fprintln(w, "told", engine, o.now-o.told[engine])
	}
	for _, engine := range slices.Sorted(maps.Keys(o.starts.known)) {
		fmt.Fprintln(w, "start", engine, o.now-o.starts.known[engine].at)
	}
	fmt.Fprintln(w, o.swept-o.now, o.lives, o.lists.newest-o.lists.latest.Revision, max(0, o.lists.againAt-o.now))
}

// what tells control requests apart.
func (e *controlRequest) what() string {
	if e.hold == nil {
		return "probe"
	}
	return fmt.Sprint("release ", e.hold.ID, " ", e.hold.Round-e.round)
}

// Sent is one send as an explorer sees it.
type Sent struct {
	Inference, Engine string
	Writes, Ended     bool
	State             attempt.State
	Verdict           string
}

// Open lists, by inference, the sends of all that is open.
func (o *Core) Open() (row []Sent) {
	for _, id := range o.ids() {
		for _, s := range o.infs[id].sends {
			row = append(row, Sent{o.infs[id].name, s.engine, s.writes, s.ended, s.machine.State, verdictNames[s.verdict]})
		}
	}
	return row
}

// Took is which rows of the tables of brain, attempt and conns were taken so far, a bit each from bit 0.
func (o *Core) Took() (brain, attempts, lines uint64) {
	return o.brain.FiredTransitions(), o.took >> 1, o.pool.Took()
}

// BusyLines is how many lines carry something or wait for the rest of an answer.
func (o *Core) BusyLines() (n int) {
	for _, l := range o.lines {
		if l.send != nil || l.control != nil || l.restSince > 0 || l.socket == nil {
			n++
		}
	}
	return n
}
