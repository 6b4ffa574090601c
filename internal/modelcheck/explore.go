package modelcheck

import (
	"cmp"
	"fmt"
	"math/bits"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"sandcourse/internal/attempt"
	"sandcourse/internal/config"
	"sandcourse/internal/connpool"
	"sandcourse/internal/planner/assignment"
	"sandcourse/internal/routing"
)

// Path is a row of events by their numbers among those that could happen.
type Path []uint8

// state is an execution between two events: of one node, or of several.
type state interface {
	events() []Event // in an order that hangs on nothing but the state
	step(e Event)
	over() bool // nothing can happen any more
	checkEnd()
	digest() uint64
	found() []string // what is broken
	cover() Cover
	tellState() []string
	finals() []string // of the clients
	clock() time.Duration
}

func newState(w World, tell bool) state {
	if w.Roles {
		return roleState{newRoleSim(w)}
	}
	if w.Nodes > 1 {
		return newFleet(w)
	}
	return newSim(w, tell)
}

// run plays a path from the start. It stops early, with ok false, where the path does not fit.
func run(w World, path Path, tell bool) (s state, ok bool) {
	s = newState(w, tell)
	for _, n := range path {
		row := s.events()
		if int(n) >= len(row) {
			return s, false
		}
		s.step(row[n])
		if len(s.found()) > 0 {
			break
		}
	}
	return s, true
}

func (s *sim) found() []string { return s.broken }

func (s *sim) over() bool { return len(s.events()) == 0 }

func (s *sim) clock() time.Duration { return time.Duration(s.now - int64(1000*time.Second)) }

func (s *sim) finals() (row []string) {
	for _, c := range s.clients {
		row = append(row, c.final)
	}
	return row
}

func (s *sim) step(e Event) {
	if e.fault != "" {
		s.faults++
	}
	if s.tell {
		s.story = append(s.story, e.Name)
	}
	e.do()
	s.check()
}

// Bounds end an exploration.
type Bounds struct {
	Workers, States, Depth int
	Until                  func() bool // polled between levels and now and then within; true ends it
	Replay                 bool        // plays each path from the start, which is slow and trusts no copy
}

// Result is what an exploration found.
type Result struct {
	World       World    `json:"world"`
	States      int      `json:"states"`
	Transitions int      `json:"transitions"`
	Merged      int      `json:"merged"`
	Ends        int      `json:"ends"`
	Depth       int      `json:"depth"`
	Complete    bool     `json:"complete"`
	Broken      []string `json:"broken,omitempty"`
	Path        Path     `json:"path,omitempty"`
	Took        Cover    `json:"-"`
	// EndsSum tells two sets of ends apart, whatever the way to them.
	EndsSum uint64 `json:"ends_sum"`
	Cold    int    `json:"cold"` // the most sends that a cold engine of a crowd had in one window
}

// Cover is which rows of the tables were taken.
type Cover struct{ Brain, Attempt, Conns, Roles uint64 }

// Add joins two.
func (c *Cover) Add(o Cover) {
	c.Brain |= o.Brain
	c.Attempt |= o.Attempt
	c.Conns |= o.Conns
	c.Roles |= o.Roles
}

// Missing names the rows never taken.
func (c Cover) Missing() (row []string) {
	for _, t := range []struct {
		took uint64
		rows []string
	}{{c.Brain, routing.TransitionNames()}, {c.Attempt, attempt.TransitionNames()}, {c.Conns, connpool.TransitionNames()}, {c.Roles, assignment.TransitionNames()}} {
		for i, name := range t.rows {
			if t.took&(1<<i) == 0 {
				row = append(row, name)
			}
		}
	}
	return row
}

// Taken is how many rows were taken, of how many.
func (c Cover) Taken() (taken, of int) {
	return bits.OnesCount64(c.Brain) + bits.OnesCount64(c.Attempt) + bits.OnesCount64(c.Conns) + bits.OnesCount64(c.Roles),
		len(routing.TransitionNames()) + len(attempt.TransitionNames()) + len(connpool.TransitionNames()) + len(assignment.TransitionNames())
}

// Snapshot is an exploration between two levels, to go on from.
type Snapshot struct {
	World    World
	Front    []Path
	Seen     map[uint64]struct{}
	Ended    map[uint64]struct{} // digests of ends
	Result   Result
	finished bool
}

// Start is a snapshot before the first level.
func Start(w World) *Snapshot {
	s := newState(w, false)
	return &Snapshot{World: w, Front: []Path{{}}, Seen: map[uint64]struct{}{s.digest(): {}},
		Ended: map[uint64]struct{}{}, Result: Result{World: w, States: 1}}
}

// child is one state reached from a state of the front.
type child struct {
	digest uint64
	event  uint8
	broken []string
}

type opened struct {
	children []child
	end      bool
	digest   uint64   // of the end
	broken   []string // at the end
	took     Cover
	done     bool
}

func (s *sim) cover() (c Cover) {
	c.Brain, c.Attempt, c.Conns = s.core.FiredTransitions()
	c.Add(s.took)
	return c
}

// open tries every event of one state: the path is played once, and each event goes on from a copy.
func open(w World, path Path, copies copiers) (o opened) {
	s, _ := run(w, path, false)
	n := len(s.events())
	o.done = true
	if n == 0 {
		if s.over() { // else another order of the same events goes on
			s.checkEnd()
			o.end, o.broken, o.digest = true, s.found(), s.digest()
		}
		o.took = s.cover()
		return o
	}
	for i := range n {
		next := s
		if copies == nil {
			next, _ = run(w, path, false)
		} else if i < n-1 { // the last event uses the state itself
			next = copies.copyOf(s)
		}
		next.step(next.events()[i])
		o.children = append(o.children, child{next.digest(), uint8(i), next.found()})
		o.took.Add(next.cover())
	}
	return o
}

// Go explores level by level, so that what it finds is found by a shortest path. States of a level are dealt out to
// workers and taken up in order, so the verdict does not hang on the number of workers. Told is called after each
// level.
func (snap *Snapshot) Go(b Bounds, told func(r Result, front int)) Result {
	r := &snap.Result
	for len(snap.Front) > 0 && !snap.finished {
		if b.Depth > 0 && r.Depth >= b.Depth || b.States > 0 && r.States >= b.States || b.Until != nil && b.Until() {
			return *r
		}
		rows := make([]opened, len(snap.Front))
		var next atomic.Int64
		var stopped atomic.Bool
		var all sync.WaitGroup
		for range max(1, b.Workers) {
			all.Go(func() {
				var copies copiers
				if !b.Replay {
					copies = copiers{}
				}
				for {
					i := int(next.Add(1)) - 1
					if i >= len(rows) || stopped.Load() {
						return
					}
					if i%64 == 0 && b.Until != nil && b.Until() {
						stopped.Store(true)
						return
					}
					rows[i] = open(snap.World, snap.Front[i], copies)
				}
			})
		}
		all.Wait()
		if stopped.Load() {
			return *r // the level is begun anew by whoever goes on
		}
		var front []Path
		for i, o := range rows {
			path := snap.Front[i]
			r.Took.Add(o.took)
			if o.end {
				if _, ok := snap.Ended[o.digest]; !ok {
					snap.Ended[o.digest] = struct{}{}
					r.Ends++
					r.EndsSum ^= o.digest
				}
				if len(o.broken) > 0 && r.Path == nil {
					r.Broken, r.Path = o.broken, slices.Clone(path)
				}
			}
			for _, c := range o.children {
				r.Transitions++
				if len(c.broken) > 0 && r.Path == nil {
					r.Broken, r.Path = c.broken, append(slices.Clone(path), c.event)
				}
				if _, ok := snap.Seen[c.digest]; ok {
					r.Merged++
					continue
				}
				snap.Seen[c.digest] = struct{}{}
				r.States++
				front = append(front, append(slices.Clone(path), c.event))
			}
		}
		snap.Front = front
		r.Depth++
		if told != nil {
			told(*r, len(front))
		}
		if r.Path != nil {
			snap.finished = true
			return *r
		}
	}
	r.Complete = r.Path == nil
	return *r
}

// Swarm walks at random from seeds, deep into worlds that are too large to be explored whole.
func Swarm(w World, seed uint64, walks, workers int, until func() bool) (r Result) {
	r.World = w
	type walk struct {
		path   Path
		broken []string
		took   Cover
		end    bool
		world  World // with the kinds of fault that this walk may bring
	}
	rows := make([]walk, walks)
	var next atomic.Int64
	var all sync.WaitGroup
	for range max(1, workers) {
		all.Go(func() {
			for {
				i := int(next.Add(1)) - 1
				if i >= walks || until != nil && until() {
					return
				}
				rng := rand.New(rand.NewPCG(seed, uint64(i)))
				// Each walk leaves out some kinds of fault: swarms find more than walks that may do everything.
				mine := w
				for _, kind := range Kinds() {
					if rng.Float64() < 0.5 && (len(w.Kinds) == 0 || slices.Contains(w.Kinds, kind)) {
						mine.Kinds = append(mine.Kinds, kind)
					}
				}
				s := newState(mine, false)
				var path Path
				for range 2000 {
					row := s.events()
					if len(row) == 0 {
						if s.over() {
							s.checkEnd()
							rows[i].end = true
						}
						break
					}
					n := rng.IntN(len(row))
					// Faults are one kind of event among many in a large world: choose them less often.
					if row[n].fault != "" && rng.Float64() < 0.7 {
						n = rng.IntN(len(row))
					}
					path = append(path, uint8(n))
					s.step(row[n])
					if len(s.found()) > 0 {
						break
					}
				}
				rows[i].world = mine
				rows[i].path, rows[i].broken, rows[i].took = path, s.found(), s.cover()
				if len(s.found()) > 0 {
					rows[i].path = shrink(mine, path)
				}
			}
		})
	}
	all.Wait()
	for _, o := range rows {
		r.Transitions += len(o.path)
		r.Took.Add(o.took)
		r.Depth = max(r.Depth, len(o.path))
		if o.end {
			r.Ends++
		}
		if len(o.broken) > 0 && r.Path == nil {
			r.World, r.Broken, r.Path = o.world, o.broken, o.path
		}
	}
	r.States = r.Transitions
	return r
}

// shrink leaves out events that a break does not need.
func shrink(w World, path Path) Path {
	want, _ := run(w, path, false)
	if len(want.found()) == 0 {
		return path
	}
	name := property(want.found()[0])
	for size := len(path) / 2; size > 0; size /= 2 {
		for i := 0; i+size <= len(path); {
			shorter := slices.Delete(slices.Clone(path), i, i+size)
			if s, ok := run(w, shorter, false); ok && len(s.found()) > 0 && property(s.found()[0]) == name {
				path = shorter
			} else {
				i += size
			}
		}
	}
	return path
}

func property(broken string) string {
	name, _, _ := strings.Cut(broken, " ")
	return name
}

// Kinds are the kinds of fault.
func Kinds() []string {
	return []string{"connect", "drain", "error", "full", "garbled", "half", "kill", "late", "leave", "no-state", "part", "reset",
		"restart", "retry", "silent"}
}

// Story tells a path as numbered steps with the state after each.
func Story(w World, path Path) (lines []string, broken []string) {
	s := newState(w, true)
	lines = append(lines, fmt.Sprintf("world %s: %d readers, %d writers, inferences %v", w.Name, w.Readers, w.Writers, w.Effects))
	before := s.tellState()
	for i, n := range path {
		row := s.events()
		if int(n) >= len(row) {
			return append(lines, "the path does not fit this text any more"), nil
		}
		s.step(row[n])
		lines = append(lines, fmt.Sprintf("%2d. %s", i+1, row[n].Name))
		after := s.tellState()
		for _, l := range after {
			if !slices.Contains(before, l) {
				lines = append(lines, "      "+l)
			}
		}
		before = after
		if len(s.found()) > 0 {
			break
		}
	}
	if len(s.found()) == 0 && s.over() {
		s.checkEnd()
	}
	for _, b := range s.found() {
		lines = append(lines, "BROKEN "+b)
	}
	return lines, s.found()
}

var stateNames = map[attempt.State]string{attempt.Dialing: "dialling", attempt.Writing: "writing",
	attempt.AwaitingResponse: "waiting", attempt.Responding: "answering", attempt.Streaming: "flowing", attempt.Ended: "over"}

func (s *sim) tellState() (row []string) {
	for _, c := range s.clients {
		if c.asked {
			state := cmp.Or(c.final, "open")
			row = append(row, fmt.Sprintf("client %d, inference %s: %s, perhaps run by %d", c.n, c.name, state, c.ran))
		}
	}
	for _, o := range s.core.OpenAttempts() {
		state := stateNames[o.State]
		if o.Ended {
			state = o.Verdict
		}
		row = append(row, fmt.Sprintf("send of %s to %s: %s", o.Request, o.Engine, state))
	}
	for _, h := range s.held {
		row = append(row, fmt.Sprintf("%s holds a state of %s", h.reader, h.inference))
	}
	row = append(row, fmt.Sprintf("%v have passed", time.Duration(s.now-int64(1000*time.Second))))
	return row
}

// Step is one event of a path, for whoever plays it elsewhere.
type Step struct {
	Name string
	At   time.Duration // since the start
}

// Steps are the events of a path, and what each client ends with.
func Steps(w World, path Path) (steps []Step, finals []string, err error) {
	s := newState(w, true)
	for i, n := range path {
		row := s.events()
		if int(n) >= len(row) {
			return nil, nil, fmt.Errorf("step %d does not fit this text any more", i+1)
		}
		s.step(row[n])
		steps = append(steps, Step{row[n].Name, s.clock()})
	}
	return steps, s.finals(), nil
}

// Names are the engines of a world, as its events name them: readers first.
func (w World) Names() (row []string) {
	for i := range w.Readers + w.Writers {
		row = append(row, engineName(w, i))
	}
	return row
}

// Deployment is the settings that a world's node runs with.
func (w World) Deployment() *config.Deployment { return w.deployment() }

// Ends are paths to the first different ends of a world, at most so many, in the order of their length.
func Ends(w World, most int) (paths []Path) {
	seen := map[uint64]bool{}
	front := []Path{{}}
	for len(front) > 0 && len(paths) < most {
		var next []Path
		for _, path := range front {
			s, _ := run(w, path, false)
			n := len(s.events())
			if n == 0 {
				paths = append(paths, path)
			}
			for i := range n {
				longer := append(slices.Clone(path), uint8(i))
				s, _ := run(w, longer, false)
				if d := s.digest(); !seen[d] {
					seen[d] = true
					next = append(next, longer)
				}
			}
		}
		front = next
	}
	return paths[:min(len(paths), most)]
}
