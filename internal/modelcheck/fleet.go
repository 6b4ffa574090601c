package modelcheck

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"sandcourse/internal/endpoint"
)

// fleet is several nodes on the same engines. They share engines, list and time, and nothing else: events of
// two nodes commute. So, unless the world is plain, between two shared events those of a node of lower number
// come first. That leaves out orders, never states; TestOrderOfNodesLosesNothing compares with the plain
// search.
type fleet struct {
	w    World
	sims []*sim
	list endpoint.List
	turn int // no event of a node under this number before the next shared one
	said []string
	most int // sends to a cold engine in one window
}

func newFleet(w World) *fleet {
	f := &fleet{w: w}
	for i := range w.Nodes {
		f.sims = append(f.sims, newNode(w, i, false))
	}
	f.list = f.sims[0].list
	return f
}

// share tells all nodes what the adversary has used up at all nodes.
func (f *fleet) share(faults int) {
	for _, s := range f.sims {
		s.faults = faults
	}
}

func (f *fleet) events() []Event { return f.may(f.turn) }

// may lists what may happen, of nodes from a number on.
func (f *fleet) may(from int) (row []Event) {
	pending, quiet := false, true
	for i, s := range f.sims {
		own, busy := s.own()
		pending, quiet = pending || busy, quiet && s.quiet()
		if s.list.Revision < f.list.Revision {
			own = append(own, Event{Name: "hears the list", do: func() {
				s.list = f.list
				s.hear()
			}})
		}
		if i < from && !f.w.Plain {
			continue
		}
		for _, e := range own {
			do := e.do
			row = append(row, Event{fmt.Sprintf("node %d: %s", i, e.Name), e.fault,
				func() { f.turn = i; do() }})
		}
	}
	shared := func(name, fault string, do func()) {
		if fault == "" || f.sims[0].may(fault) {
			row = append(row, Event{name, fault, func() { f.turn = 0; do() }})
		}
	}
	for i, e := range f.list.Entries {
		if e.State != endpoint.Ready {
			continue
		}
		shared("the list says that "+e.ID+" drains", "drain", func() {
			f.list.Revision++
			f.list.Entries = slices.Clone(f.list.Entries)
			f.list.Entries[i].State = endpoint.Draining
		})
		shared(e.ID+" restarts cold", "restart", func() { f.restart(i) })
	}
	if !pending && !quiet {
		due := f.sims[0].core.NextDue()
		for _, s := range f.sims {
			due = min(due, s.core.NextDue())
		}
		due = max(due, f.sims[0].now)
		shared("time passes", "", func() { f.pass(due) })
		shared(fmt.Sprintf("time passes, and the timers run %v late", lateBy), "late", func() {
			f.pass(due +
				int64(lateBy))
		})
	}
	return row
}

func (f *fleet) restart(i int) {
	f.list.Revision++
	f.list.Entries = slices.Clone(f.list.Entries)
	f.list.Entries[i].StartedAtMs = f.sims[0].now / 1e6
	for _, s := range f.sims {
		s.list = f.list
		s.restart(f.list.Entries[i].ID)
	}
}

func (f *fleet) pass(to int64) {
	for _, s := range f.sims {
		s.pass(to)
	}
}

func (f *fleet) step(e Event) {
	faults := f.sims[0].faults
	if e.fault != "" {
		faults++
	}
	f.share(faults)
	e.do()
	for _, s := range f.sims {
		s.check()
	}
	f.checkCold()
}

// Each engine of a crowd, when warm, does this many sends a second; of which the budget of a cold one is
// made.
const warmRate = 60.0

// checkCold adds up what all nodes sent each cold engine within one window. Two of slack: sends are lumps.
func (f *fleet) checkCold() {
	u := f.sims[0].d.Rules
	budget := u.OverloadMultiple*u.SlowStartShare*warmRate*u.OverloadWindow.Seconds() + 2
	for _, e := range f.list.Entries {
		n := 0
		for _, s := range f.sims {
			s.toCold = slices.DeleteFunc(s.toCold, func(c coldSend) bool {
				return s.now-c.at >= int64(u.OverloadWindow) || s.now-c.since >= int64(u.SlowStart)
			})
			for _, c := range s.toCold {
				if c.engine == e.ID {
					n++
				}
			}
		}
		f.most = max(f.most, n)
		if float64(n) > budget {
			f.said = append(f.said, fmt.Sprintf("P14 %s is cold and gets %d sends in %v, budget %.0f",
				e.ID, n, u.OverloadWindow, budget))
		}
	}
}

func (f *fleet) found() (row []string) {
	row = append(row, f.said...)
	for i, s := range f.sims {
		for _, b := range s.broken {
			row = append(row, fmt.Sprintf("%s (node %d)", b, i))
		}
	}
	return row
}

func (f *fleet) over() bool { return len(f.may(0)) == 0 }

func (f *fleet) checkEnd() {
	for _, s := range f.sims {
		s.checkEnd()
	}
}

// digest leaves out the turn at an end, where nothing hangs on it any more.
func (f *fleet) digest() uint64 {
	h := xxhash.New()
	for _, s := range f.sims {
		fmt.Fprintln(h, s.digest(), s.list.Revision)
	}
	fmt.Fprintln(h, f.list)
	if !f.w.Plain && !f.over() {
		fmt.Fprintln(h, f.turn)
	}
	return h.Sum64()
}

func (f *fleet) cover() (c Cover) {
	for _, s := range f.sims {
		c.Add(s.cover())
	}
	return c
}

func (f *fleet) tellState() (row []string) {
	for i, s := range f.sims {
		for _, line := range s.tellState() {
			row = append(row, fmt.Sprintf("node %d: %s", i, line))
		}
	}
	return row
}

func (f *fleet) finals() (row []string) {
	for _, s := range f.sims {
		row = append(row, s.finals()...)
	}
	return row
}

func (f *fleet) clock() time.Duration { return f.sims[0].clock() }

// Crowd is one long day of many nodes: steady arrivals at all, then an engine of each role restarts cold,
// twice, and arrivals come at thrice the pace for three seconds, as clients who come back bring it. The wire
// is kind and engines answer as fast as they can when warm, so that all that holds work back from a cold
// engine is what the nodes decide, each on its own.
func Crowd(w World, seed uint64, until func() bool) (r Result) {
	r.World = w
	rng := rand.New(rand.NewPCG(seed, 300))
	f := newFleet(w)
	// 0.75 of what warm engines can do: a crowd that measures its engines at less grants less.
	rate := 0.75 * warmRate * float64(min(w.Readers, w.Writers)) / float64(w.Nodes)
	end := 24 * time.Second
	restarts := []time.Duration{6 * time.Second, 15 * time.Second}
	burst := time.Duration(0)
	left := map[string]float64{} // answers that an engine can give now
	const pace = 5 * time.Millisecond
	for at := time.Duration(0); at < end && len(f.found()) == 0 && (until == nil || !until()); at += pace {
		if len(restarts) > 0 && at >= restarts[0] {
			f.restart(len(restarts) - 1)
			f.restart(w.Readers + len(restarts) - 1)
			restarts, burst = restarts[1:], at+3*time.Second
			r.Ends++
		}
		pressed := rate
		if at < burst {
			pressed *= 3
		}
		for _, e := range f.list.Entries {
			left[e.ID] = min(left[e.ID]+warmRate*pace.Seconds(), 8) // 8: slots of one
		}
		now := int64(1000*time.Second) + int64(at)
		for _, s := range f.sims {
			begun := len(s.clients) > 0
			if s.core.NextDue() <= now || begun {
				s.pass(now)
			}
			s.now = now
			if rng.Float64() < pressed*pace.Seconds() {
				s.ask(s.join("retriable"))
				begun = true
			}
			for begun {
				e := f.kind(s, left)
				if e == nil {
					break
				}
				e.do()
				r.Transitions++
			}
			s.clients = slices.DeleteFunc(s.clients, func(c *simClient) bool { return c.endAt > 0 })
			s.lines = slices.DeleteFunc(s.lines, func(l *simLine) bool { return l.closed })
		}
		f.checkCold()
		r.Depth++
	}
	r.Cold, r.States, r.Broken, r.Took = f.most, r.Transitions, f.found(), f.cover()
	r.Complete = len(r.Broken) == 0
	return r
}

// kind is the next event at a node that is no fault, with engines answering no faster than they can.
func (f *fleet) kind(s *sim, left map[string]float64) *Event {
	row, pending := s.own()
	if !pending {
		return nil
	}
	for _, e := range row {
		_, rest, _ := strings.Cut(e.Name, " at ")
		name, did, _ := strings.Cut(rest, " ")
		works := did == "ends" || did == "gives its first token"
		switch {
		case e.fault != "" || works && left[name] < 1 || did == "is not heard of":
			continue
		case works:
			left[name]--
		}
		return &e
	}
	return nil
}
