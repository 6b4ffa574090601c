package assignment

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"sandcourse/internal/endpoint"
	"sandcourse/internal/planner/planapi"
)

// Bounds are the operators' figures for changes of roles.
type Bounds struct {
	Drain time.Duration // for what is open at an engine to end, else it stays in its role
	Order time.Duration // for an engine to confirm an order
	Load  time.Duration // for it to come back in its next role
	Trial time.Duration
	Cold  time.Duration // after which it counts as warm
	Rest  time.Duration // between two changes of one engine, and before one set aside is asked again
	Floor int           // engines that serve in each role, which no change may take
	// Changing is the share of all engines that may be changing at once; one may always.
	Changing  float64
	PerMinute float64       // of all engines, the share that may begin a change within a minute; two always
	Grace     time.Duration // after the news of a drain, for sends under way
	Off       bool          // decide, explain, and change nothing
	// ReadPace and WritePace are tokens a second of one engine, until they have been measured; 0 if not
	// known.
	ReadPace, WritePace float64
	Values              map[string]float64 // of one inference, by model route
}

// Box is one engine as discovery lists it. Kinds are its names by role; an engine whose kind has no other
// role has one.
type Box struct {
	Engine, Role, Zone, Cell string
	Kinds                    map[string]string
	Weight                   float64
	Ready, CanChange         bool
	UpSince                  int64 // nanoseconds; 0 for long ago
}

// Record is what is kept of one engine over restarts of the planner.
type Record struct {
	Engine    string `json:"engine"`
	Role      string `json:"role"`
	Epoch     int64  `json:"epoch"`
	State     State  `json:"state"`
	Next      string `json:"next,omitempty"`
	NextEpoch int64  `json:"next_epoch,omitempty"`
	Since     int64  `json:"since"` // of the state, nanoseconds of the planner's clock
	Began     int64  `json:"began,omitempty"`
	Life      int64  `json:"life,omitempty"`
	Pinned    bool   `json:"pinned,omitempty"`
	Why       string `json:"why,omitempty"`
}

// Meta is what is kept of the planner.
type Meta struct {
	Number  int64  `json:"number"` // of the last plan
	Stopped bool   `json:"stopped"`
	Who     string `json:"who,omitempty"`
	Why     string `json:"why,omitempty"`
}

// box is what is known of one engine.
type box struct {
	Record
	listed  Box
	present bool
	known   bool // its role was heard from itself or kept
	said    planapi.EngineReport
	saidAt  int64 // 0 for never
	saidOf  int64 // when the question for it left
	samples []sample
	askedAt int64
	started int64 // when its change began
	drained int64 // how long its last drain took
	rest    int64 // when its last change ended
	trial   int64
	tries   int // times set aside
	trouble string
}

// change is one that came to its end.
type change struct{ at, took int64 }

// Input is one of the types below that say so.
type Input interface{ isInput() }

// Listed is discovery's list, whole.
type Listed struct{ Boxes []Box }

// EngineSaid is an engine's report. AskedAt is when the question left: what was asked before a change says
// nothing about what came of it.
type EngineSaid struct {
	AskedAt int64
	Report  planapi.EngineReport
}

// EdgeSaid is an edge's report.
type EdgeSaid struct{ Report planapi.EdgeReport }

// Tried is the end of a trial.
type Tried struct {
	Engine string
	Number int64 // of the trial; others are late news
	OK     bool
	Why    string
}

// Tick lets time pass.
type Tick struct{}

func (Listed) isInput()     {}
func (EngineSaid) isInput() {}
func (EdgeSaid) isInput()   {}
func (Tried) isInput()      {}
func (Tick) isInput()       {}

// Effect is one of the types below that say so. They must be carried out in order.
type Effect interface{ isEffect() }

// Keep must be durable before any effect after it is carried out: what was asked may never be forgotten.
type Keep struct {
	Records []Record
	Meta    Meta
}

// Publish hands a plan to all edges.
type Publish struct{ Plan planapi.Plan }

// Ask sends an order to an engine. It may be lost; it is asked again until the engine's reports show it.
type Ask struct {
	Engine string
	Order  planapi.RoleOrder
}

// Try gives an engine a small piece of work that shows its role; Tried follows.
type Try struct {
	Engine, Role string
	Epoch        int64
	Number       int64
}

// Tell is for operators.
type Tell struct{ Text string }

// Deposed says that a planner of a later term is at work: this one asks and publishes nothing more.
type Deposed struct{ Term int64 }

func (Keep) isEffect()    {}
func (Publish) isEffect() {}
func (Ask) isEffect()     {}
func (Try) isEffect()     {}
func (Tell) isEffect()    {}
func (Deposed) isEffect() {}

// Core is one planner's view of roles. It is not safe for concurrent use.
type Core struct {
	bounds Bounds
	term   int64
	now    int64
	start  int64
	meta   Meta
	boxes  map[string]*box
	ids    []string // sorted
	edges  map[string]*edge

	out     []Effect
	dirty   map[string]bool
	keeping bool
	publish bool
	opened  bool // the first plan is out
	deposed bool
	took    uint64

	changes  []change
	starts   []int64 // when the last changes began
	history  []past
	mixAt    int64
	paces    map[string]float64 // tokens a second of an engine of weight 1, by role, last known
	unread   float64            // tokens read for each prompt token; 0 if not known
	tokens   map[string]float64 // answer tokens of an inference, by route, last known
	decideAt int64
	lags     []int64   // how old the last reports were
	shares   []float64 // of reading in all work, one a second
	side     string    // the role that the load tilts to, against its mean
	sideAt   int64
	spells   map[string][]int64 // how long the last tilts to each role lasted
	longing  map[string]int64   // since when a change to a role would gain; 0 for not
	last     Explained
}

// New makes a core. Records and meta are what an earlier life kept; nil for a first one.
func New(bounds Bounds, term, now int64, records []Record, meta Meta) *Core {
	c := &Core{bounds: bounds, term: term, now: now, start: now, meta: meta, boxes: map[string]*box{},
		edges: map[string]*edge{},
		dirty: map[string]bool{}, paces: map[string]float64{}, tokens: map[string]float64{},
		longing: map[string]int64{}, spells: map[string][]int64{}}
	for _, r := range records {
		// A clock that was set back must not make a step's time endless.
		r.Since, r.Began = min(r.Since, now), min(r.Began, now)
		c.boxes[r.Engine] = &box{Record: r, known: true, started: r.Since}
		// Rests and the budget of a minute outlive a restart: a planner that is killed again and again must
		// not begin more changes than one that is not.
		if r.Epoch > 1 || r.NextEpoch > 1 {
			c.boxes[r.Engine].rest = r.Since
			c.starts = last(c.starts, r.Since, 32)
		}
	}
	c.sort()
	return c
}

func (c *Core) sort() { c.ids = slices.Sorted(maps.Keys(c.boxes)) }

func (c *Core) keep(b *box) { c.dirty[b.Engine] = true }

// Step takes one input at the time now and returns what is to be done, in order.
func (c *Core) Step(now int64, in Input) []Effect {
	c.begun(now)
	switch in := in.(type) {
	case Listed:
		c.list(in.Boxes)
	case EngineSaid:
		c.engineSaid(in)
	case EdgeSaid:
		c.edgeSaid(in.Report)
	case Tried:
		if b := c.boxes[in.Engine]; b != nil && b.State == Trying && in.Number == b.trial {
			if in.OK {
				c.happen(b, good)
			} else {
				b.trouble = "it does not do the work of the role that it claims: " + in.Why
				c.happen(b, bad)
			}
		}
	case Tick:
		c.tick()
	}
	return c.done()
}

func (c *Core) begun(now int64) { c.now, c.out = max(now, c.now), nil }

// done puts what must be kept before all else.
func (c *Core) done() []Effect {
	if c.deposed {
		c.out = slices.DeleteFunc(c.out, func(e Effect) bool {
			switch e.(type) {
			case Ask, Try:
				return true
			}
			return false
		})
		return c.out
	}
	var row []Effect
	if c.publish && c.mayOpen() {
		c.meta.Number++
		c.opened = true
	}
	if len(c.dirty) > 0 || c.keeping || c.publish && c.opened {
		k := Keep{Meta: c.meta}
		for _, id := range slices.Sorted(maps.Keys(c.dirty)) {
			k.Records = append(k.Records, c.boxes[id].Record)
		}
		row = append(row, k)
	}
	if c.publish && c.opened {
		row = append(row, Publish{c.Plan()})
		c.publish = false
	}
	clear(c.dirty)
	c.keeping = false
	return append(row, c.out...)
}

// opening is how long a planner without records waits to hear of roles from engines themselves. A plan made
// before that may name roles that they no longer have; one that never comes would leave edges without any.
const opening = 3 * time.Second

func (c *Core) mayOpen() bool {
	if c.opened {
		return true
	}
	listed, unknown := 0, 0
	for _, b := range c.boxes {
		if b.present {
			listed++
			if b.listed.CanChange && !b.known {
				unknown++
			}
		}
	}
	return listed > 0 && (unknown == 0 || c.now-c.start >= int64(opening))
}

func (c *Core) list(boxes []Box) {
	seen := map[string]bool{}
	for _, l := range boxes {
		seen[l.Engine] = true
		b := c.boxes[l.Engine]
		if b == nil {
			b = &box{Record: Record{Engine: l.Engine, Role: l.Role, State: Serving, Since: c.now,
				Began: l.UpSince}}
			b.known = !l.CanChange
			c.boxes[l.Engine] = b
		}
		if !l.CanChange && (b.Role != l.Role || b.Epoch != 0 || b.State != Serving || b.Began != l.UpSince) {
			// Its kind has no other role, so discovery's word is all there is.
			b.Record = Record{Engine: l.Engine, Role: l.Role, State: Serving, Since: c.now,
				Began: l.UpSince, Pinned: b.Pinned}
		}
		b.listed, b.present = l, true
	}
	for _, id := range c.ids {
		if b := c.boxes[id]; !seen[id] {
			b.present = false
		}
	}
	c.sort()
	c.publish = true
}

// engineSaid sorts a report into the table's inputs.
func (c *Core) engineSaid(in EngineSaid) {
	r := in.Report
	b := c.boxes[r.Engine]
	if b == nil {
		return
	}
	if r.Term > c.term && !c.deposed {
		c.deposed = true
		c.out = append(c.out, Deposed{r.Term},
			Tell{fmt.Sprintf("%s follows a planner of term %d, this one has %d: it stops", r.Engine, r.Term,
				c.term)})
		return
	}
	b.measure(r, c.now)
	b.said, b.saidAt, b.saidOf = r, c.now, in.AskedAt
	c.lags = last(c.lags, c.now-in.AskedAt, 64)
	if !b.listed.CanChange {
		return
	}
	if !b.known { // a planner without records takes the engine's word for what it is
		b.known = true
		b.Role, b.Epoch, b.Life, b.Since = r.Role, r.Epoch, r.Life, c.now
		if r.UpFor > 0 {
			b.Began = max(1, c.now-r.UpFor*int64(time.Millisecond))
		}
		c.publish = true
		c.keep(b)
		return
	}
	if in.AskedAt < b.Since {
		return
	}
	asIs := r.Epoch == b.Epoch && r.Role == b.Role && !r.Changing
	asked := r.Epoch == b.NextEpoch && r.Role == b.Next && b.Next != ""
	switch b.State {
	case Serving, Cold:
		switch {
		case !asIs:
			b.trouble = fmt.Sprintf("it says role %s of epoch %d, it was given %s of %d", r.Role, r.Epoch,
				b.Role, b.Epoch)
			c.happen(b, strange)
		case r.Life != b.Life && b.Life != 0:
			c.happen(b, restarted)
		case b.Life == 0:
			b.Life = r.Life
			c.keep(b)
		case r.Draining: // its drain was ended, and the order for that got lost
			c.askAgain(b)
		}
	case Draining:
		switch {
		case !asIs:
			b.trouble = fmt.Sprintf("it says role %s of epoch %d in a drain of %d", r.Role, r.Epoch, b.Epoch)
			c.happen(b, strange)
		case !r.Draining:
			c.askAgain(b)
		case r.Open == 0 && r.Held == 0 && c.now-b.Since >= 2*int64(c.bounds.Grace):
			c.happen(b, empty)
		}
	case Ordered, Loading, Returning:
		switch {
		case asked && !r.Changing:
			c.happen(b, came)
		case asked:
			c.happen(b, confirmed)
		default:
			c.askAgain(b)
		}
	case Trying:
		if !asked || r.Changing {
			b.trouble = fmt.Sprintf("it says role %s of epoch %d in a trial of %s of %d", r.Role, r.Epoch,
				b.Next, b.NextEpoch)
			c.happen(b, strange)
		}
	}
}

// ask sends what the engine should follow now.
func (c *Core) ask(b *box) {
	o := planapi.RoleOrder{Term: c.term, Epoch: b.Epoch, Role: b.Role}
	switch b.State {
	case Draining:
		o.Drain = true
	case Ordered, Loading, Returning, Trying:
		o.Epoch, o.Role = b.NextEpoch, b.Next
	}
	b.askedAt = c.now
	c.out = append(c.out, Ask{b.Engine, o})
}

// Between two tries of the same order: an engine answers within milliseconds, and a lost order costs little.
const askEvery = int64(250 * time.Millisecond)

func (c *Core) askAgain(b *box) {
	if c.now-b.askedAt >= askEvery {
		c.ask(b)
	}
}

func (c *Core) tick() {
	for _, id := range c.ids {
		b := c.boxes[id]
		// A step's time counts as far as it has been heard of, so that late reports alone end no change; what
		// is not heard of at all ends after thrice the time.
		if limit := int64(c.limit(b.State)); limit > 0 && (b.saidOf-b.Since > limit ||
			c.now-b.Since > 3*limit) {
			switch b.State {
			case Draining:
				c.out = append(c.out, Tell{fmt.Sprintf("%s did not empty within %v: it stays in its role",
					b.Engine, c.limit(b.State))})
			case Returning:
				b.trouble = fmt.Sprintf("it did not come back within %v", c.limit(b.State))
			case Trying:
				b.trouble = fmt.Sprintf("its trial did not end within %v", c.limit(b.State))
			}
			c.happen(b, late)
		}
		if b.State == Cold && c.now-b.Began > int64(c.bounds.Cold) {
			c.happen(b, warm)
		}
		if b.State == Aside && c.now-b.Since > int64(c.resting(b)) {
			c.happen(b, rested)
		}
	}
	if !c.opened {
		c.publish = true
	}
	// Every second: reports come as often.
	if c.now-c.decideAt >= int64(time.Second) {
		c.decideAt = c.now
		c.decide()
	}
}

// Order carries out an operator's order, or says why it is refused. Dry orders change nothing.
func (c *Core) Order(now int64, o planapi.Order) (text string, effects []Effect, err error) {
	c.begun(now)
	b := c.boxes[o.Engine]
	if o.Engine != "" && (b == nil || !b.present) {
		return "", nil, fmt.Errorf("%s: no such engine is listed", o.Engine)
	}
	by := fmt.Sprintf("%s: %s", o.Who, o.Why)
	switch o.Op {
	case "pin", "unpin":
		if b.Pinned == (o.Op == "pin") {
			return "", nil, fmt.Errorf("%s is %sned already", o.Engine, o.Op)
		}
		text = fmt.Sprintf("%s is %sned in its role, %s", b.Engine, o.Op, b.Role)
		if !o.Dry {
			b.Pinned, b.Why = o.Op == "pin", by
			c.keep(b)
		}
	case "stop", "go":
		if c.meta.Stopped == (o.Op == "stop") {
			return "", nil, fmt.Errorf("changes are %s already", map[string]string{"stop": "stopped",
				"go": "going on"}[o.Op])
		}
		text = "changes go on"
		if o.Op == "stop" {
			text = "no change begins; engines that drain go back, what is loading comes to its end"
		}
		if !o.Dry {
			c.meta.Stopped, c.meta.Who, c.meta.Why, c.keeping = o.Op == "stop", o.Who, o.Why, true
			for _, id := range c.ids {
				if c.meta.Stopped {
					c.happen(c.boxes[id], halt)
				}
			}
		}
	case "readmit":
		if b.State != Aside {
			return "", nil, fmt.Errorf("%s is %s, not aside", b.Engine, b.State)
		}
		text = b.Engine + " is asked to come back as " + b.Role
		if !o.Dry {
			b.tries = 0
			c.happen(b, readmitted)
		}
	case "move":
		if why := c.barred(b); why != "" {
			return "", nil, fmt.Errorf("%s may not change: %s", b.Engine, why)
		}
		text = fmt.Sprintf("%s leaves %s for %s", b.Engine, b.Role, planapi.Other(b.Role))
		if !o.Dry {
			c.change(b, "by order of "+by)
		}
	}
	return text, c.done(), nil
}

// change is the one gate through which a change begins; whoever calls has asked barred.
func (c *Core) change(b *box, why string) {
	b.Why, b.started = why, c.now
	c.starts = last(c.starts, c.now, 32)
	c.happen(b, chosen)
}

// Plan is what edges are to follow. An engine that is between two roles is not in it.
func (c *Core) Plan() planapi.Plan {
	p := planapi.Plan{Term: c.term, Number: c.meta.Number, Engines: []planapi.Engine{}}
	for _, id := range c.ids {
		b := c.boxes[id]
		if !b.present {
			continue
		}
		state := endpoint.Ready
		switch b.State {
		case Draining:
			state = endpoint.Draining
		case Ordered, Loading, Returning, Trying, Aside:
			continue
		}
		if !b.listed.Ready {
			state = endpoint.Draining
		}
		e := planapi.Engine{Engine: id, Kind: b.listed.Kinds[b.Role], Zone: b.listed.Zone,
			Cell: b.listed.Cell, Weight: b.listed.Weight, State: state,
			Epoch: b.Epoch}
		// Ten minutes is long for any cold start.
		if began := max(b.Began, b.listed.UpSince); began > 0 && c.now-began < int64(10*time.Minute) {
			e.UpFor = max(1, (c.now-began)/int64(time.Millisecond))
		}
		p.Engines = append(p.Engines, e)
	}
	return p
}

// Took is which rows of the table were taken so far, a bit each.
func (c *Core) Took() uint64 { return c.took }

// Deposed is whether a planner of a later term was heard of.
func (c *Core) Deposed() bool { return c.deposed }

// Digest writes all of the roles' states that a later step may hang on, with times as they lie from now.
// Demand is left out: explorers give none.
func (c *Core) Digest(w io.Writer) {
	fmt.Fprintln(w, c.term, c.meta.Stopped, c.opened, c.deposed, c.publish, min(c.now-c.start,
		int64(opening)))
	for _, id := range c.ids {
		b := c.boxes[id]
		fmt.Fprintln(w, id, b.Role, b.Epoch, b.State, b.Next, b.NextEpoch, c.now-b.Since, b.Began > 0,
			min(c.now-b.Began, int64(c.bounds.Cold)),
			b.Life, b.Pinned, b.present, b.known, b.trial, b.tries, min(c.now-b.askedAt, askEvery),
			min(c.now-b.rest, int64(c.bounds.Rest)), b.said)
	}
	for _, at := range c.starts {
		fmt.Fprintln(w, c.now-at)
	}
}

// last keeps the newest n of a row.
func last[T any](row []T, v T, n int) []T {
	row = append(row, v)
	if len(row) > n {
		row = append(row[:0], row[len(row)-n:]...)
	}
	return row
}
