package assignment

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sandcourse/internal/planner/planapi"
)

// sample is one engine's work between two reports.
type sample struct {
	at, dt     int64
	work, busy float64 // tokens, and seconds of all its slots
	reads      bool
}

// edge is what is known of one edge: its last reports, as differences.
type edge struct {
	said  planapi.EdgeReport
	at    int64
	parts []part
}

type part struct {
	at, dt int64
	routes []planapi.RouteCount // counted within dt
}

// How far back measurements go. Ten reports of a second: long enough that a swing of a few seconds evens out,
// short enough that a shift shows within one switch.
const (
	partsKept   = 10
	samplesKept = 16
	heardFor    = int64(4 * time.Second)  // an edge that said nothing for longer is not counted
	knownFor    = int64(60 * time.Second) // and after this it is not expected any more
)

// measure takes what an engine did since its last report. A report of another life or role, or one that
// counts backwards, begins anew.
func (b *box) measure(r planapi.EngineReport, now int64) {
	old := b.said
	dt := now - b.saidAt
	if b.saidAt == 0 || old.Life != r.Life || old.Role != r.Role || r.Read < old.Read ||
		r.Written < old.Written || r.Busy < old.Busy || dt <= 0 {
		return
	}
	s := sample{at: now, dt: dt, work: r.Written - old.Written, busy: r.Busy - old.Busy,
		reads: r.Role == planapi.Read}
	if s.reads {
		s.work = r.Read - old.Read
	}
	// Reports come four times a second; a second of them makes a sample.
	if n := len(b.samples); n > 0 && b.samples[n-1].dt < int64(time.Second) &&
		b.samples[n-1].reads == s.reads {
		l := &b.samples[n-1]
		l.at, l.dt, l.work, l.busy = s.at, l.dt+s.dt, l.work+s.work, l.busy+s.busy
		return
	}
	b.samples = last(b.samples, s, samplesKept)
}

// edgeSaid takes the differences between two reports of one life of an edge.
func (c *Core) edgeSaid(r planapi.EdgeReport) {
	e := c.edges[r.Edge]
	if e == nil {
		if len(c.edges) >= 10_000 {
			return
		}
		e = &edge{}
		c.edges[r.Edge] = e
	}
	if e.at > 0 && e.said.Life == r.Life && c.now > e.at {
		p := part{at: c.now, dt: c.now - e.at}
		for _, t := range r.Routes {
			i := slices.IndexFunc(e.said.Routes,
				func(o planapi.RouteCount) bool { return o.Route == t.Route })
			var o planapi.RouteCount
			if i >= 0 {
				o = e.said.Routes[i]
			}
			d := planapi.RouteCount{Route: t.Route, Arrived: t.Arrived - o.Arrived,
				Prompt: t.Prompt - o.Prompt, Began: t.Began - o.Began,
				BegunFor: t.BegunFor - o.BegunFor, Ended: t.Ended - o.Ended, Answer: t.Answer - o.Answer,
				InTime: t.InTime - o.InTime,
				Shed:   t.Shed - o.Shed}
			if min(d.Arrived, d.Prompt, d.Began, d.BegunFor, d.Ended, d.Answer, d.InTime, d.Shed) < 0 {
				continue // it counts backwards: no life does
			}
			p.routes = append(p.routes, d)
		}
		e.parts = last(e.parts, p, partsKept)
	}
	e.said, e.at = r, c.now
}

// flow is what arrives on one model route.
type flow struct {
	Route  string  `json:"route"`
	Rate   float64 `json:"rate"`         // inferences a second
	Reads  float64 `json:"read_tokens"`  // work of one at a reader
	Writes float64 `json:"write_tokens"` // and at a writer
	Value  float64 `json:"value"`
	Lost   float64 `json:"lost"` // inferences a second that are shed, or whose first token comes late
}

// mix is all of them, by route.
type mix []flow

// demand adds up what arrives. Edges that are not heard are taken to see as much as the others do on average,
// and no edge counts for more than four times the middle one: a report may be wrong.
func (c *Core) demand() (m mix, heard, known int) {
	type sum struct{ arrived, prompt, ended, answer, lost float64 }
	rates := map[string][]float64{}
	sums := map[string]*sum{}
	begun, rows := 0.0, 0 // prompt tokens a second whose first token came
	for _, name := range slices.Sorted(maps.Keys(c.edges)) {
		e := c.edges[name]
		if c.now-e.at > knownFor {
			delete(c.edges, name)
			continue
		}
		known++
		if c.now-e.at > heardFor || len(e.parts) == 0 {
			continue
		}
		heard++
		span, read := 0.0, 0.0
		mine := map[string]float64{}
		for _, p := range e.parts {
			span += float64(p.dt) / 1e9
			for _, t := range p.routes {
				mine[t.Route] += t.Arrived
				if sums[t.Route] == nil {
					sums[t.Route] = &sum{}
				}
				s := sums[t.Route]
				s.arrived, s.prompt, s.ended, s.answer = s.arrived+t.Arrived, s.prompt+t.Prompt,
					s.ended+t.Ended, s.answer+t.Answer
				s.lost += t.Shed + max(0, t.Began-t.InTime)
				read += t.BegunFor
			}
		}
		begun += read / max(span, 0.1)
		rows++
		for route, n := range mine {
			rates[route] = append(rates[route], n/max(span, 0.1))
		}
	}
	if read, n := c.work(planapi.Read); begun > 0 && n > 0 {
		// What is read of each prompt token. Readers and edges that are not heard are as the others are. A
		// reader may read again what another kept, so more than all is possible; under a fiftieth is not
		// believed.
		all, _ := c.supply(planapi.Read)
		read *= max(1, all/float64(n))
		begun *= float64(known) / float64(heard)
		c.unread = min(max(read/begun, 0.02), 1.5)
	}
	for _, route := range slices.Sorted(maps.Keys(sums)) {
		s := sums[route]
		if s.ended > 0 {
			c.tokens[route] = s.answer / s.ended
		}
		row := rates[route]
		for len(row) < rows {
			row = append(row, 0)
		}
		slices.Sort(row)
		cap := 4 * row[len(row)/2]
		if len(row) < 3 || cap == 0 {
			cap = row[len(row)-1]
		}
		f := flow{Route: route, Value: cmp.Or(c.bounds.Values[route], 1)}
		for _, r := range row {
			f.Rate += min(r, cap)
		}
		f.Rate *= float64(known) / float64(max(heard, 1))
		f.Lost = f.Rate * min(1, s.lost/max(s.arrived, 1))
		f.Reads, f.Writes = s.prompt/max(s.arrived, 1)*cmp.Or(c.unread, 1), cmp.Or(c.tokens[route], 64)
		if f.Rate > 0 {
			m = append(m, f)
		}
	}
	// Those of highest value are served first, as the edges do.
	slices.SortStableFunc(m, func(a, b flow) int {
		return cmp.Or(cmp.Compare(b.Value, a.Value),
			cmp.Compare(a.Route, b.Route))
	})
	return m, heard, known
}

// work is how many tokens a second all engines of a role do, and how many of them were heard. None counts for
// more than four times the middle one.
func (c *Core) work(role string) (sum float64, n int) {
	var row []float64
	for _, id := range c.ids {
		b := c.boxes[id]
		work, span := 0.0, int64(0)
		for _, s := range b.samples {
			if s.reads == (role == planapi.Read) && c.now-s.at < int64(partsKept*time.Second) {
				work, span = work+s.work, span+s.dt
			}
		}
		if span > 0 {
			row = append(row, work/(float64(span)/1e9))
		}
	}
	slices.Sort(row)
	for _, v := range row {
		if mid := row[len(row)/2]; len(row) >= 3 && mid > 0 {
			v = min(v, 4*mid)
		}
		sum += v
	}
	return sum, len(row)
}

// pace is how many tokens a second an engine of weight 1 does when it is busy: of each engine the second best
// of its last samples, so that a slow spell that is shorter than they reach does not count as more demand,
// and one wrong report does not count at all; of all engines the middle one.
func (c *Core) pace(role string) float64 {
	var row []float64
	for _, id := range c.ids {
		b := c.boxes[id]
		var mine []float64
		for _, s := range b.samples {
			// A twentieth busy: less work than that says little of how fast it goes.
			if s.reads == (role == planapi.Read) && s.busy > 0.05*float64(s.dt)/1e9 && s.work > 0 {
				mine = append(mine, s.work/s.busy/cmp.Or(b.listed.Weight, 1))
			}
		}
		if len(mine) >= 3 {
			slices.Sort(mine)
			row = append(row, mine[len(mine)-2])
		}
	}
	if len(row) > 0 {
		slices.Sort(row)
		c.paces[role] = row[len(row)/2]
	}
	if c.paces[role] == 0 {
		c.paces[role] = map[string]float64{planapi.Read: c.bounds.ReadPace,
			planapi.Write: c.bounds.WritePace}[role]
	}
	return c.paces[role]
}
