// Package sway is a fleet in simulated time whose load tilts between reading and writing. The real roles
// decide, or a baseline does; queues, engines and edges are a fluid: shares of inferences, not single ones.
// It does no I/O.
package fluidmodel

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"sandcourse/internal/planner/assignment"
	"sandcourse/internal/planner/planapi"
)

// Route is one model route of the load. Its reading and writing work are tokens of one inference.
type Route struct {
	Name        string
	Share       float64
	Reads       float64
	Writes      float64
	Value       float64
	Target      float64 // seconds to the first token
	ReadsTilted float64 // of an inference when the load is tilted all the way to reading
	WriteTilted float64 // and all the way to writing
}

// Day is one day.
type Day struct {
	Engines, Readers, Cells int
	Edges                   int
	Length, Period          time.Duration
	Depth                   float64 // 0 for none, 1 for all of the tilt
	Square                  bool    // the load jumps; else it swings
	Load                    float64 // of what the best split of roles could do
	Reload, Cold, Drain     time.Duration
	Lag                     time.Duration // of all reports
	Missing                 float64       // share of engines and edges that report nothing
	Lying                   float64       // share of engines that report ten times their work
	Slow                    [2]float64    // from and to, as shares of the day: writers go at half their pace
	Fixed                   float64       // share of engines that cannot change
	Dies                    float64       // of the day: when all readers but one drain for good; 0 for never
	Seed                    uint64
}

// Arm is a way to give roles.
type Arm struct {
	Name    string
	Roles   bool // the real code
	Plain   bool // the plain threshold
	Readers int  // fixed
}

// Result is what a day came to.
type Result struct {
	Value   float64   `json:"value"`   // in time, of what was offered
	Worst   float64   `json:"worst"`   // the worst ten seconds
	Switch  int       `json:"changes"` // engines that came to another role
	Lost    float64   `json:"lost"`    // engine-seconds out of service for changes, of all
	Readers []float64 `json:"-"`       // serving, every second
	Window  []float64 `json:"-"`       // value share, every ten seconds
	Recover float64   `json:"recover"` // seconds from the first tilt until nine tenths of value are in time again; -1 for never
}

// The paces of one engine, tokens a second: a reader's prompts and a writer's answers over all its slots.
const (
	readPace  = 20_000.0
	writePace = 1_600.0
	step      = 100 * time.Millisecond
)

// Routes are two: a cheap one of long texts, a dear one of short.
func Routes() []Route {
	return []Route{
		{Name: "fan-alert", Share: 0.4, Reads: 300, Writes: 60, Value: 5, Target: 0.8, ReadsTilted: 1500,
			WriteTilted: 150},
		{Name: "clip-summary", Share: 0.6, Reads: 1200, Writes: 100, Value: 1, Target: 1.5,
			ReadsTilted: 4000, WriteTilted: 250},
	}
}

type machine struct {
	name, role, claims string
	epoch, term        int64
	cell               string
	loading, leaving   bool
	until              time.Duration // it is loaded, or what is open has ended
	began              time.Duration // of its role, -1 for long ago
	read, written      float64
	busy               float64
	canChange          bool
	silent, lies       bool
	out                bool // drained for good
	plainNext          string
}

type fleet struct {
	d        Day
	routes   []Route
	arm      Arm
	rng      *rand.Rand
	now      time.Duration
	engines  []*machine
	core     *assignment.Core
	plan     map[string]planapi.Engine // what edges follow
	late     []func()                  // by time: reports on their way
	lateAt   []time.Duration
	counts   []planapi.RouteCount
	wantRead float64 // backlog, tokens
	wantWrit float64
	perRead  float64 // answer tokens that follow a token read
	result   Result
}

const start = int64(1_000_000) * int64(time.Second)

func (f *fleet) clock() int64 { return start + int64(f.now) }

// tilt is 1 when the load is all the way at reading, -1 at writing.
func (f *fleet) tilt() float64 {
	if f.d.Period == 0 {
		return 0
	}
	at := math.Mod(f.now.Seconds(), f.d.Period.Seconds()) / f.d.Period.Seconds()
	v := math.Sin(2 * math.Pi * at)
	if f.d.Square {
		v = 1
		if at >= 0.5 {
			v = -1
		}
	}
	return v * f.d.Depth
}

func (r Route) work(tilt float64) (reads, writes float64) {
	return r.Reads + max(tilt, 0)*(r.ReadsTilted-r.Reads), r.Writes + max(-tilt, 0)*(r.WriteTilted-r.Writes)
}

// rate is how many inferences a second arrive: Load of what all engines could do with the best split of
// roles.
func (f *fleet) rate() float64 {
	r, w := 0.0, 0.0
	for _, t := range f.routes {
		a, b := t.work(f.tilt())
		r, w = r+t.Share*a/readPace, w+t.Share*b/writePace
	}
	return f.d.Load * float64(f.d.Engines) / (r + w)
}

// Run plays a day.
func Run(d Day, arm Arm) Result {
	f := &fleet{d: d, routes: Routes(), arm: arm, rng: rand.New(rand.NewPCG(d.Seed, 11)),
		plan: map[string]planapi.Engine{}}
	f.result.Recover = -1
	readers := d.Readers
	if arm.Readers > 0 {
		readers = arm.Readers
	}
	var boxes []assignment.Box
	for i := range d.Engines {
		m := &machine{name: fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250+1), role: planapi.Write, epoch: 1,
			began: -1,
			cell:  fmt.Sprint("c", i%max(1, d.Cells))}
		if i < readers {
			m.role = planapi.Read
		}
		m.claims, m.canChange = m.role, f.rng.Float64() >= d.Fixed
		m.silent, m.lies = f.rng.Float64() < d.Missing, f.rng.Float64() < d.Lying
		f.engines = append(f.engines, m)
		kinds := map[string]string{m.role: m.role}
		if m.canChange {
			kinds = map[string]string{planapi.Read: planapi.Read, planapi.Write: planapi.Write}
		}
		boxes = append(boxes, assignment.Box{Engine: m.name, Role: m.role, Cell: m.cell, Weight: 1, Ready: true,
			CanChange: m.canChange, Kinds: kinds})
		f.plan[m.name] = planapi.Engine{Engine: m.name, Kind: m.role, State: "ready", Epoch: 1}
	}
	for _, r := range f.routes {
		f.counts = append(f.counts, planapi.RouteCount{Route: r.Name})
	}
	if arm.Roles {
		values := map[string]float64{}
		for _, r := range f.routes {
			values[r.Name] = r.Value
		}
		f.core = assignment.New(assignment.Bounds{Drain: 20 * time.Second, Order: 3 * time.Second, Load: 2*d.Reload +
			10*time.Second, Trial: 5 * time.Second,
			Cold: d.Cold, Rest: 30 * time.Second, Floor: 1, Changing: 0.1, PerMinute: 0.25,
			Grace: 250 * time.Millisecond, ReadPace: readPace,
			WritePace: writePace, Values: values}, 1, f.clock(), nil, assignment.Meta{})
		f.carryOut(f.core.Step(f.clock(), assignment.Listed{Boxes: boxes}))
	}
	offered, got := 0.0, 0.0
	partOffered, partGot, parts := 0.0, 0.0, 0
	f.result.Worst = 1
	first := time.Duration(float64(d.Period) / 8)
	for f.now = 0; f.now < d.Length; f.now += step {
		if d.Dies > 0 && f.now >= time.Duration(d.Dies*float64(d.Length)) &&
			f.now < time.Duration(d.Dies*float64(d.Length))+step {
			f.die(boxes)
		}
		f.deliver()
		o, g := f.arrive()
		f.work()
		f.control()
		offered, got = offered+o, got+g
		partOffered, partGot = partOffered+o, partGot+g
		if f.now%time.Second == 0 {
			readers := 0.0
			for _, m := range f.engines {
				if f.serves(m, planapi.Read) > 0 {
					readers++
				}
			}
			f.result.Readers = append(f.result.Readers, readers)
		}
		if parts++; parts == int(10*time.Second/step) {
			share := partGot / max(partOffered, 1e-9)
			f.result.Window = append(f.result.Window, share)
			f.result.Worst = min(f.result.Worst, share)
			if share >= 0.9 && f.result.Recover < 0 && f.now > first {
				f.result.Recover = f.now.Seconds()
			}
			partOffered, partGot, parts = 0, 0, 0
		}
	}
	f.result.Value = got / offered
	f.result.Lost /= float64(d.Engines) * d.Length.Seconds()
	return f.result
}

// die drains all readers but one for good: discovery lists them so.
func (f *fleet) die(boxes []assignment.Box) {
	kept := false
	for i, m := range f.engines {
		if m.role != planapi.Read {
			continue
		}
		if !kept {
			kept = true
			continue
		}
		m.out = true
		boxes[i].Ready = false
	}
	if f.core != nil {
		f.carryOut(f.core.Step(f.clock(), assignment.Listed{Boxes: boxes}))
	}
}

// serves is the part of its power that an engine has for a role, as edges know it: they send by their plan,
// and the engine takes only what fits its epoch.
func (f *fleet) serves(m *machine, role string) float64 {
	p, ok := f.plan[m.name]
	if m.out || m.loading || m.leaving || m.role != role || !ok || p.State != "ready" || p.Kind != role ||
		p.Epoch != 0 && p.Epoch != m.epoch {
		return 0
	}
	part := 1.0
	if m.began >= 0 && f.now-m.began < f.d.Cold { // a cold one does a quarter at first
		part = 0.25 + 0.75*float64(f.now-m.began)/float64(f.d.Cold)
	}
	if at := float64(f.now) / float64(f.d.Length); role == planapi.Write && at >= f.d.Slow[0] &&
		at < f.d.Slow[1] {
		part /= 2
	}
	return part
}

func (f *fleet) power(role string) (sum float64) {
	for _, m := range f.engines {
		sum += f.serves(m, role)
	}
	return sum
}

// arrive lets a step's inferences come. Edges take what can be in time, of high value for longer, as the
// module does.
func (f *fleet) arrive() (offered, got float64) {
	readers, writers := f.power(planapi.Read)*readPace, f.power(planapi.Write)*writePace
	n := f.rate() * step.Seconds()
	n += math.Sqrt(n) * f.rng.NormFloat64()
	n = max(0, n)
	top := 0.0
	for _, r := range f.routes {
		top = max(top, r.Value)
	}
	for i, r := range f.routes {
		reads, writes := r.work(f.tilt())
		mine := n * r.Share
		offered += mine * r.Value
		c := &f.counts[i]
		c.Arrived, c.Prompt = c.Arrived+mine, c.Prompt+mine*reads
		wait := 2 * r.Target
		if readers > 0 && writers > 0 {
			wait = f.wantRead/readers + f.wantWrit/writers + reads/readPace
		}
		if wait > (0.4+0.4*r.Value/top)*r.Target {
			c.Shed += mine
			continue
		}
		got += mine * r.Value
		f.wantRead += mine * reads
		f.perRead += (writes/reads - f.perRead) * min(1, mine*reads/max(f.wantRead, 1))
		c.Began, c.BegunFor, c.InTime = c.Began+mine, c.BegunFor+mine*reads, c.InTime+mine
		c.Ended, c.Answer = c.Ended+mine, c.Answer+mine*writes
	}
	return offered, got
}

// work lets engines do a step's part.
func (f *fleet) work() {
	for _, role := range []string{planapi.Read, planapi.Write} {
		power := f.power(role)
		pace, want := readPace, &f.wantRead
		if role == planapi.Write {
			pace, want = writePace, &f.wantWrit
		}
		done := min(*want, power*pace*step.Seconds())
		*want -= done
		if role == planapi.Read {
			f.wantWrit += done * f.perRead
		}
		for _, m := range f.engines {
			if part := f.serves(m, role); part > 0 {
				mine := done * part / power
				if role == planapi.Read {
					m.read += mine
				} else {
					m.written += mine
				}
				m.busy += mine / (pace * part)
			}
		}
	}
	for _, m := range f.engines {
		if m.loading || m.leaving {
			f.result.Lost += step.Seconds()
		}
		if m.loading && f.now >= m.until {
			m.loading, m.role, m.began = false, m.claims, f.now
			f.result.Switch++
			if f.arm.Plain {
				f.plan[m.name] = planapi.Engine{Engine: m.name, Kind: m.role, State: "ready", Epoch: m.epoch}
			}
		}
	}
}

// later hands something over after the reports' lag.
func (f *fleet) later(do func()) {
	f.late, f.lateAt = append(f.late, do), append(f.lateAt, f.now+f.d.Lag)
}

func (f *fleet) deliver() {
	for len(f.late) > 0 && f.lateAt[0] <= f.now {
		do := f.late[0]
		f.late, f.lateAt = f.late[1:], f.lateAt[1:]
		do()
	}
}

func (f *fleet) report(m *machine) planapi.EngineReport {
	r := planapi.EngineReport{Engine: m.name, Role: m.claims, Epoch: m.epoch, Term: m.term, Life: 1,
		Changing: m.loading, Draining: m.leaving,
		Read: m.read, Written: m.written, Busy: m.busy}
	if m.began >= 0 {
		r.UpFor = (f.now - m.began).Milliseconds() + 1
	}
	if m.leaving && f.now < m.until {
		r.Open = 1
	}
	if m.lies {
		r.Read, r.Written = 10*r.Read, 10*r.Written
	}
	return r
}

// control lets whoever gives roles look and act.
func (f *fleet) control() {
	if f.arm.Plain {
		f.threshold()
		return
	}
	if f.core == nil {
		return
	}
	for i, m := range f.engines {
		urgent := m.leaving || m.loading || f.plan[m.name].Epoch != m.epoch
		// Each second, spread over its ten steps; those that are changing every step.
		if m.silent && !urgent || !urgent && int(f.now/step)%10 != i%10 {
			continue
		}
		asked, r := f.clock(), f.report(m)
		f.later(func() { f.carryOut(f.core.Step(f.clock(), assignment.EngineSaid{AskedAt: asked, Report: r})) })
	}
	for e := range f.d.Edges {
		if int(f.now/step)%10 != e%10 || float64(e) < f.d.Missing*float64(f.d.Edges) {
			continue
		}
		r := planapi.EdgeReport{Edge: fmt.Sprint("edge", e), Life: 1}
		for _, c := range f.counts {
			part := 1 / float64(f.d.Edges)
			r.Routes = append(r.Routes, planapi.RouteCount{Route: c.Route, Arrived: c.Arrived * part,
				Prompt: c.Prompt * part, Began: c.Began * part,
				BegunFor: c.BegunFor * part, Ended: c.Ended * part, Answer: c.Answer * part,
				InTime: c.InTime * part, Shed: c.Shed * part})
		}
		f.later(func() { f.carryOut(f.core.Step(f.clock(), assignment.EdgeSaid{Report: r})) })
	}
	f.carryOut(f.core.Step(f.clock(), assignment.Tick{}))
}

func (f *fleet) machine(name string) *machine {
	return f.engines[slices.IndexFunc(f.engines, func(m *machine) bool { return m.name == name })]
}

func (f *fleet) carryOut(effects []assignment.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case assignment.Publish:
			clear(f.plan)
			for _, x := range e.Plan.Engines {
				f.plan[x.Engine] = x
			}
		case assignment.Ask:
			f.follow(f.machine(e.Engine), e.Order)
		case assignment.Try:
			m := f.machine(e.Engine)
			ok := m.role == e.Role && m.epoch == e.Epoch && !m.loading
			f.later(func() {
				f.carryOut(f.core.Step(f.clock(), assignment.Tried{Engine: e.Engine, Number: e.Number, OK: ok}))
			})
		}
	}
}

func (f *fleet) follow(m *machine, o planapi.RoleOrder) {
	m.term = o.Term
	switch {
	case o.Epoch == m.epoch && !m.loading:
		if o.Drain && !m.leaving { // what is open ends within the drain's time
			m.until = f.now + time.Duration(f.rng.Float64()*float64(f.d.Drain))
		}
		m.leaving = o.Drain
	case o.Epoch > m.epoch && (!m.leaving || f.now >= m.until):
		m.epoch, m.leaving = o.Epoch, false
		if o.Role != m.role || m.loading {
			m.claims, m.loading, m.until = o.Role, true, f.now+f.d.Reload
		}
	}
}

// threshold is the plain baseline: every five seconds, if one role has more than eight tenths of its work for
// the last of them and the other less than half, one engine changes.
func (f *fleet) threshold() {
	for _, m := range f.engines {
		if m.leaving && f.now >= m.until {
			m.leaving, m.loading, m.until = false, true, f.now+f.d.Reload
			m.claims = m.plainNext
			m.epoch++
		}
	}
	if f.now%(5*time.Second) != 0 || f.now == 0 {
		return
	}
	need := map[string]float64{}
	for _, r := range f.routes {
		reads, writes := r.work(f.tilt())
		need[planapi.Read] += f.rate() * r.Share * reads / readPace
		need[planapi.Write] += f.rate() * r.Share * writes / writePace
	}
	full := func(role string) float64 { return need[role] / max(f.power(role), 0.1) }
	for _, to := range []string{planapi.Read, planapi.Write} {
		from := planapi.Other(to)
		if full(to) > 0.8 && full(from) < 0.5 && f.power(from) > 1.5 {
			for _, m := range f.engines {
				if m.canChange && f.serves(m, from) > 0 {
					m.leaving, m.plainNext = true, to
					m.until = f.now + time.Duration(f.rng.Float64()*float64(f.d.Drain))
					return
				}
			}
		}
	}
}

// Best is the fixed split that a day would have been best with, in hindsight: some twelve are tried.
func Best(d Day) (Result, int) {
	best, at := Result{Value: -1}, 0
	by := max(1, d.Engines/12)
	for n := by; n < d.Engines; n += by {
		if r := Run(d, Arm{Readers: n}); r.Value > best.Value {
			best, at = r, n
		}
	}
	return best, at
}
