package assignment

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"sandcourse/internal/planner/planapi"
)

// Weighed is what a change to one role would bring.
type Weighed struct {
	To     string  `json:"to"`
	Gain   float64 `json:"gain"`     // value a second, under the mix that arrives now
	Usual  float64 `json:"usual"`    // the same, on average, under those mixes of the last minutes that lose by it
	Mean   float64 `json:"mean"`     // the same, on average, under all mixes of the last minutes
	Left   float64 `json:"left_s"`   // how long the shift is expected to go on
	Cost   float64 `json:"cost"`     // value lost while the engine changes
	For    float64 `json:"for_s"`    // how long it would have gained already
	Engine string  `json:"engine"`   // the best one to change
	Lost   float64 `json:"lost_tok"` // kept tokens that nobody else keeps
	Why    string  `json:"why"`      // it is done, or not
	Done   bool    `json:"done"`
}

// Explained is the last decision, for people.
type Explained struct {
	At         int64              `json:"at"`
	Mix        mix                `json:"mix"`
	Edges      int                `json:"edges_heard"`
	EdgesKnown int                `json:"edges_known"`
	Need       map[string]float64 `json:"need"`   // engines that the mix keeps busy, by role
	Serve      map[string]float64 `json:"serve"`  // engines that serve, by role
	Coming     map[string]float64 `json:"coming"` // and that are changing to it
	Pace       map[string]float64 `json:"pace"`
	Weighed    []Weighed          `json:"weighed"`
	Changing   int                `json:"changing"`
	Stopped    bool               `json:"stopped"`
}

// Explained is the last decision.
func (c *Core) Explained() Explained { return c.last }

// Shown is one engine as operators see it.
type Shown struct {
	Record
	Listed    bool                 `json:"Listed"`
	CanChange bool                 `json:"CanChange"`
	Said      planapi.EngineReport `json:"said"`
	HeardMs   int64                `json:"heard_ms_ago"` // -1 for never
	Barred    string               `json:"barred,omitempty"`
	Trouble   string               `json:"trouble,omitempty"`
}

// Show lists all engines.
func (c *Core) Show() (row []Shown) {
	for _, id := range c.ids {
		b := c.boxes[id]
		s := Shown{Record: b.Record, Listed: b.present, CanChange: b.listed.CanChange, Said: b.said,
			HeardMs: -1, Barred: c.barred(b),
			Trouble: b.trouble}
		if b.saidAt > 0 {
			s.HeardMs = (c.now - b.saidAt) / 1e6
		}
		row = append(row, s)
	}
	return row
}

// Asked are the engines to ask for reports, and those of them whose change waits for what they say.
func (c *Core) Asked() (all, urgent []string) {
	for _, id := range c.ids {
		b := c.boxes[id]
		if !b.present {
			continue
		}
		all = append(all, id)
		switch b.State {
		case Serving, Cold, Aside:
		default:
			urgent = append(urgent, id)
		}
	}
	return all, urgent
}

// Count is how many listed engines stand in each role and state.
func (c *Core) Count() map[[2]string]int {
	n := map[[2]string]int{}
	for _, id := range c.ids {
		if b := c.boxes[id]; b.present {
			n[[2]string{b.Role, string(b.State)}]++
		}
	}
	return n
}

// usable is how much of its work an engine can be given before queues make first tokens late. Over nine
// tenths a few arrivals together wait longer than their own reading takes; at 0.75 changes began where
// nothing was lost yet.
const usable = 0.9

// served is the value a second that a mix brings with so many engines in each role: routes of highest value
// first, each as far as both roles have room.
func (m mix) served(readers, writers, readPace, writePace float64) (value float64) {
	r, w := readers*readPace*usable, writers*writePace*usable
	for _, f := range m {
		share := 1.0
		if f.Reads > 0 {
			share = min(share, r/(f.Rate*f.Reads))
		}
		if f.Writes > 0 {
			share = min(share, w/(f.Rate*f.Writes))
		}
		share = max(share, 0)
		r, w = r-share*f.Rate*f.Reads, w-share*f.Rate*f.Writes
		value += share * f.Rate * f.Value
	}
	return value
}

// all is the value a second that arrives; lost is that which is not in time.
func (m mix) all() (v float64) {
	for _, f := range m {
		v += f.Rate * f.Value
	}
	return v
}

func (m mix) lost() (v float64) {
	for _, f := range m {
		v += f.Lost * f.Value
	}
	return v
}

// fresh is how many engines come to a role, or came so late that what is lost now is still counted without
// them.
func (c *Core) fresh(role string) (n float64) {
	for _, id := range c.ids {
		b := c.boxes[id]
		if b.present && (b.Next == role || b.Role == role && b.Began > 0 && c.now-b.Began < int64(seen)) {
			n += cmp.Or(b.listed.Weight, 1)
		}
	}
	return n
}

// supply counts engines of a role that serve, by weight, and those that are on the way to it. One that says
// nothing is not counted: what it can do is not known.
func (c *Core) supply(role string) (serve, coming float64) {
	for _, id := range c.ids {
		b := c.boxes[id]
		if !b.present {
			continue
		}
		weight := cmp.Or(b.listed.Weight, 1)
		switch b.State {
		case Serving, Cold:
			if b.Role == role && b.listed.Ready && !c.mute(b) {
				serve += weight
			}
		case Aside:
		default:
			if b.Next == role {
				coming += weight
			}
		}
	}
	return serve, coming
}

// mute is whether nothing was heard of an engine for so long that it may be dead: four questions.
func (c *Core) mute(b *box) bool { return c.now-b.saidAt > int64(4*time.Second) }

// The figures of the decision.
const (
	// A shift is expected to last as long again as it has lasted, at most this: mixes change with matches.
	longest = 2 * time.Minute
	// How long it takes until a load that has turned is seen to have: what demand looks back on, and three
	// reports.
	seen = 13 * time.Second
	// Of all value, a hundredth is within the error of the estimate.
	little = 0.01
	// Of what is lost now, a change may be hoped to bring back this much more: counts of ten seconds are
	// rough.
	hope = 1.5
	// Nothing is decided on less than this: three reports.
	atLeast = 3 * time.Second
	// What a change is to gain must be worth this many times what it costs: the estimate is rough.
	margin = 1.5
	// Mixes of the last four minutes, one every ten seconds: what the load usually is.
	// From a minute on they say something of the average.
	mixEvery, mixesKept, mixesFew = 10 * time.Second, 24, 6
)

// decide weighs one change in each direction and begins at most one.
func (c *Core) decide() {
	m, heard, known := c.demand()
	paces := map[string]float64{planapi.Read: c.pace(planapi.Read), planapi.Write: c.pace(planapi.Write)}
	x := Explained{At: c.now, Mix: m, Edges: heard, EdgesKnown: known, Need: map[string]float64{},
		Serve:  map[string]float64{},
		Coming: map[string]float64{}, Pace: paces, Stopped: c.meta.Stopped || c.bounds.Off,
		Changing: c.changing()}
	for _, f := range m {
		x.Need[planapi.Read] += f.Rate * f.Reads / max(paces[planapi.Read], 1)
		x.Need[planapi.Write] += f.Rate * f.Writes / max(paces[planapi.Write], 1)
	}
	for _, role := range []string{planapi.Read, planapi.Write} {
		x.Serve[role], x.Coming[role] = c.supply(role)
	}
	if len(m) > 0 && (len(c.history) == 0 || c.now-c.mixAt >= int64(mixEvery)) {
		c.history, c.mixAt = last(c.history, past{m, c.worse(m, x, paces)}, mixesKept), c.now
	}
	c.turn(x.Need)
	for _, to := range []string{planapi.Read, planapi.Write} {
		x.Weighed = append(x.Weighed, c.weigh(to, m, paces, x))
	}
	slices.SortStableFunc(x.Weighed, func(a, b Weighed) int { return cmp.Compare(b.Gain, a.Gain) })
	for i := range x.Weighed {
		if w := &x.Weighed[i]; w.Why == "" {
			w.Done, w.Why = true, "it is worth its cost"
			c.change(c.boxes[w.Engine],
				fmt.Sprintf("%s has work for %.1f engines and %.1f, %s for %.1f and %.1f: %.2f of value a second gained for %.0f s, "+
					"%.0f s more, cost %.2f", w.To, x.Need[w.To], x.Serve[w.To]+x.Coming[w.To],
					planapi.Other(w.To), x.Need[planapi.Other(w.To)],
					x.Serve[planapi.Other(w.To)], w.Gain, w.For, w.Left, w.Cost))
			break
		}
	}
	c.last = x
}

// weigh judges one change to a role. Why is empty if it is to be done.
func (c *Core) weigh(to string, m mix, paces map[string]float64, x Explained) (w Weighed) {
	from := planapi.Other(to)
	w.To = to
	value := func(p past, moved float64) float64 {
		n := map[string]float64{to: x.Serve[to] + x.Coming[to] + moved, from: x.Serve[from] +
			x.Coming[from] - moved}
		all := p.mix.all()
		return all - p.worse*(all-p.mix.served(n[planapi.Read], n[planapi.Write], paces[planapi.Read],
			paces[planapi.Write]))
	}
	now := past{m, c.worse(m, x, paces)}
	if len(m) == 0 || paces[planapi.Read] == 0 || paces[planapi.Write] == 0 {
		w.Why = "nothing is known yet of what arrives or of how fast engines are"
		if c.alone(from, to, x) && len(m) > 0 {
			w.Gain = 1
		} else {
			return w
		}
	} else {
		// What is reckoned may not be more than what edges lose by their counts: where nothing is lost,
		// nothing is to be gained, however full a role looks. Engines that are on their way, or have come
		// since, bring back a part of that already.
		w.Gain = min(value(now, 1)-value(now, 0), hope*m.lost()-max(0, value(now, 0)-value(now,
			-c.fresh(to))))
	}
	w.Why = ""
	if w.Gain <= 1e-9 {
		c.longing[to] = 0
		w.Why = "it would gain nothing"
		return w
	}
	if c.longing[to] == 0 {
		c.longing[to] = c.now
	}
	w.For = float64(c.now-c.longing[to]) / 1e9
	turned, away := 0, 0.0
	for _, h := range c.history {
		g := value(h, 1) - value(h, 0)
		w.Mean += g / float64(len(c.history))
		if g < 0 {
			w.Usual, turned = w.Usual+g, turned+1
		}
	}
	w.Usual /= float64(max(turned, 1))
	// How many engines have left the split that would have been best on average, this way: they all have to
	// come back.
	for ; away < x.Serve[to] && w.Mean < 0; away++ {
		mean := 0.0
		for _, h := range c.history {
			mean += value(h, -away) - value(h, -away-1)
		}
		if mean >= 0 {
			break
		}
	}
	batch := max(1, c.bounds.Changing*(x.Serve[to]+x.Serve[from]))
	best, why := c.best(from)
	if best == nil {
		w.Why = why
		return w
	}
	w.Engine, w.Lost = best.Engine, c.lost(best)
	// While it changes, its old role lacks it and the new one does not have it yet; and its texts are read
	// again.
	took := c.takes()
	serving := func(less float64) float64 {
		n := map[string]float64{to: x.Serve[to], from: x.Serve[from] - less}
		return m.served(n[planapi.Read], n[planapi.Write], paces[planapi.Read], paces[planapi.Write])
	}
	w.Cost = max(0, serving(0)-serving(1)) * took
	if all, need := 0.0, x.Need[planapi.Read]; need > 0 && from == planapi.Read {
		all = m.all()
		// Reading again is work that others could have used: a second of one reader is worth its part of all
		// value, the more so the fuller readers are.
		full := min(1, need/max(usable*(x.Serve[from]-1), 0.1))
		w.Cost += w.Lost / max(paces[planapi.Read], 1) * all / need * full
	}
	// What is left of the shift, less the time until the engine serves; and once the load has turned, what
	// its absence costs until it is seen and the engine is back.
	w.Left = c.left(to, w.For)
	gains := w.Gain*max(0, w.Left-took) + w.Usual*(took*(1+away/batch)+seen.Seconds())
	// What would have been better under all mixes of the last minutes needs no forecast.
	if len(c.history) >= mixesFew {
		if w.Mean > little*m.all() {
			gains = max(gains, w.Mean*longest.Seconds())
		}
	}
	switch {
	case c.alone(from, to, x) && w.For >= 1:
		// Nobody serves in that role: all value is lost until somebody does.
	case w.For < atLeast.Seconds():
		w.Why = fmt.Sprintf("it has lasted %.0f s only", w.For)
	case gains <= margin*w.Cost || gains <= little*m.all():
		w.Why = fmt.Sprintf("%.2f of value is expected, %.2f would be lost", gains, w.Cost)
	}
	if w.Why == "" && c.meta.Stopped {
		w.Why = fmt.Sprintf("changes are stopped by %s: %s", c.meta.Who, c.meta.Why)
	}
	if w.Why == "" && c.bounds.Off {
		w.Why = "the settings only let it be explained"
	}
	return w
}

// turn notes when the load tilts to the other side of what it was on average, and how long each side lasted.
func (c *Core) turn(need map[string]float64) {
	all := need[planapi.Read] + need[planapi.Write]
	if all == 0 {
		return
	}
	share := need[planapi.Read] / all
	c.shares = last(c.shares, share, 240) // four minutes of seconds
	mean := 0.0
	for _, s := range c.shares {
		mean += s / float64(len(c.shares))
	}
	side := c.side
	// A twentieth: less is noise of counts.
	if share > mean+0.05 {
		side = planapi.Read
	} else if share < mean-0.05 {
		side = planapi.Write
	}
	if side == c.side {
		return
	}
	if c.side != "" && c.sideAt > 0 {
		c.spells[c.side] = last(c.spells[c.side], c.now-c.sideAt, 6)
	}
	c.side, c.sideAt = side, c.now
}

// left is how long a shift to a role is expected to go on: as long as earlier ones that had lasted as long by
// then, or as long again as it has lasted, if there was none.
func (c *Core) left(to string, longed float64) float64 {
	if c.side != to {
		return min(longed, longest.Seconds())
	}
	since := c.now - c.sideAt
	sum, n := 0.0, 0
	for _, d := range c.spells[to] {
		if d > since {
			sum, n = sum+float64(d-since)/1e9, n+1
		}
	}
	if n > 0 {
		return min(sum/float64(n), longest.Seconds())
	}
	return min(float64(since)/1e9, longest.Seconds())
}

// past is a mix that was, and how many times more value was lost under it than is reckoned: routes do not
// lose in the order of their value alone, and one with a short target is late first.
type past struct {
	mix   mix
	worse float64
}

// worse is that for the present: by edges' counts, against what the engines that serve would lose. From a
// third to four times: beyond that the counts say more of other troubles than of roles.
func (c *Core) worse(m mix, x Explained, paces map[string]float64) float64 {
	all := m.all()
	reckoned := all - m.served(x.Serve[planapi.Read], x.Serve[planapi.Write], paces[planapi.Read],
		paces[planapi.Write])
	if reckoned < little*all {
		return 1
	}
	return min(max(m.lost()/reckoned, 1./3), 4)
}

// alone is whether a role has nobody at all while the other has some.
func (c *Core) alone(from, to string, x Explained) bool {
	return x.Serve[to]+x.Coming[to] == 0 && x.Serve[from] > 1
}

// takes is how long a change takes, by the last ones: from its drain until it is half warm.
func (c *Core) takes() float64 {
	took := float64(c.bounds.Drain)/4 + float64(c.bounds.Load)/2
	if len(c.changes) > 0 {
		var row []int64
		for _, x := range c.changes {
			row = append(row, x.took)
		}
		slices.Sort(row)
		took = float64(row[len(row)/2])
	}
	return (took + float64(c.bounds.Cold)/2) / 1e9
}

// changing is how many engines are between two roles.
func (c *Core) changing() (n int) {
	for _, id := range c.ids {
		switch c.boxes[id].State {
		case Serving, Cold, Aside:
		default:
			n++
		}
	}
	return n
}

// best is the engine that leaves a role at the least loss: of kept texts first, then of what is open.
func (c *Core) best(from string) (best *box, why string) {
	bars := map[string]int{}
	least := math.Inf(1)
	for _, id := range c.ids {
		b := c.boxes[id]
		if b.Role != from || !b.present {
			continue
		}
		if bar := c.barred(b); bar != "" {
			bars[bar]++
			continue
		}
		// A hundred tokens for each that is open: about what a half-done answer is worth.
		if lost := c.lost(b) + 100*float64(b.said.Open+b.said.Held); lost < least {
			best, least = b, lost
		}
	}
	if best == nil {
		why = "there is no engine that could change"
		most := 0
		for bar, n := range bars {
			if n > most || n == most && bar < why {
				why, most = bar, n
			}
		}
	}
	return best, why
}

// lost is how many tokens of kept texts go with an engine: those that no other serving reader keeps are read
// again by each edge's sessions, the rest costs a tenth, as its sessions must move.
func (c *Core) lost(b *box) float64 {
	if b.Role != planapi.Read {
		return 0
	}
	lost := 0.1 * b.said.Kept
	for beginning, tokens := range b.said.Hot {
		copies := 0
		for _, id := range c.ids {
			o := c.boxes[id]
			if _, ok := o.said.Hot[beginning]; ok && o.Role == planapi.Read && (o.State == Serving ||
				o.State == Cold) {
				copies++
			}
		}
		if copies == 1 {
			lost += tokens * float64(max(1, len(c.edges)))
		}
	}
	return lost
}

// lagMost is how old reports may be: each of a change's five steps waits for one.
const lagMost = int64(3 * time.Second)

// lag is how old the middle one of the last reports was when it came.
func (c *Core) lag() int64 {
	if len(c.lags) == 0 {
		return 0
	}
	row := slices.Clone(c.lags)
	slices.Sort(row)
	return row[len(row)/2]
}

// barred says why an engine may not change its role now, or nothing. It is the one gate of all changes,
// whoever asks.
func (c *Core) barred(b *box) string {
	switch {
	case !b.present:
		return "it is not listed"
	case !b.listed.CanChange:
		return "its kind has no other role"
	case !b.known:
		return "it has not said yet what its role is"
	case b.State != Serving:
		return "it is " + string(b.State)
	case !b.listed.Ready:
		return "discovery drains it"
	case b.Pinned:
		return "it is pinned"
	case c.mute(b):
		return "nothing was heard of it"
	case c.lag() > lagMost:
		return fmt.Sprintf("reports are %v old: a change could not be followed",
			time.Duration(c.lag()).Round(100*time.Millisecond))
	case b.rest > 0 && c.now-b.rest < int64(c.bounds.Rest):
		return fmt.Sprintf("it changed within the last %v", c.bounds.Rest)
	}
	all, recent := 0, 0
	for _, id := range c.ids {
		if c.boxes[id].present {
			all++
		}
	}
	for _, at := range c.starts {
		if c.now-at < int64(time.Minute) {
			recent++
		}
	}
	other, coming := c.supply(planapi.Other(b.Role))
	if other+coming > 0 { // where a role has nobody, the budgets of calm times would only keep it so
		if float64(c.changing()+1) > max(1, c.bounds.Changing*float64(all)) {
			return "as many engines are changing as may"
		}
		if float64(recent+1) > max(2, c.bounds.PerMinute*float64(all)) {
			return "as many changes were begun within a minute as may"
		}
	} else if 3*(c.changing()+1) > max(3, all) {
		return "a third of all engines is changing"
	}
	return c.floors(b)
}

// floors keep each role, and within each zone and cell that has it, from being emptied: some must go on
// serving, and two thirds of a cell's role are never away together.
func (c *Core) floors(b *box) string {
	count := func(in func(o *box) bool) (serve, away int) {
		for _, id := range c.ids {
			o := c.boxes[id]
			if !o.present || !in(o) || o.Role != b.Role {
				continue
			}
			switch {
			// One that was never heard of may turn out to have the other role, and one that is silent may be dead.
			case (o.State == Serving || o.State == Cold) && o.listed.Ready && o.known && !c.mute(o):
				serve++
			case o.State != Serving && o.State != Cold:
				away++
			}
		}
		return serve, away
	}
	if serve, _ := count(func(*box) bool { return true }); serve-1 < c.bounds.Floor {
		return fmt.Sprintf("%d serve in its role, and %d must stay", serve, c.bounds.Floor)
	}
	zones, cells := map[string]bool{}, map[string]bool{}
	for _, id := range c.ids {
		zones[c.boxes[id].listed.Zone], cells[c.boxes[id].listed.Zone+"/"+c.boxes[id].listed.Cell] = true,
			true
	}
	if serve, _ := count(func(o *box) bool { return o.listed.Zone == b.listed.Zone }); len(zones) > 1 &&
		serve < 2 {
		return "it is the last of its role in its zone"
	}
	serve, away := count(func(o *box) bool {
		return o.listed.Zone == b.listed.Zone &&
			o.listed.Cell == b.listed.Cell
	})
	if len(cells) > 1 && serve < 2 {
		return "it is the last of its role in its cell"
	}
	if 3*(away+1) >= 2*(serve+away) && serve+away > 1 {
		return "two thirds of its role in its cell would be away"
	}
	return ""
}
