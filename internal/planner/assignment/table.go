// Package roles decides which engine changes between reading and writing, when, and how, so that nothing is
// stranded and no send meets an engine in the wrong role. It does no I/O: reports, orders and the time go in
// through Step, and what is to be kept, published and asked comes out.
package assignment

import (
	"fmt"
	"slices"
	"time"

	"sandcourse/internal/planner/planapi"
)

// State is where an engine's role stands.
type State string

// The states of an engine's role.
const (
	Serving   State = "serving"
	Draining  State = "draining"  // published as draining, and told so itself
	Ordered   State = "ordered"   // empty; it is asked to load for its next role
	Loading   State = "loading"   // it has said that it loads
	Trying    State = "trying"    // it claims the role; one small piece of work shows whether it has it
	Cold      State = "cold"      // it serves in its new role, and is warm later
	Returning State = "returning" // it is asked to take up its old role under a new epoch
	Aside     State = "aside"     // out of the plan: it does not do what it says, or never came back
)

// input is what happens to an engine's role.
type input string

const (
	chosen     input = "chosen"
	empty      input = "empty"     // nothing is open or held, long enough after the news of its drain
	late       input = "late"      // a step's time is over
	confirmed  input = "confirmed" // it says that it loads under the epoch asked for
	came       input = "came"      // it says that it serves in the role and under the epoch asked for
	good       input = "good"      // the trial showed the role
	bad        input = "bad"       // the trial showed another
	warm       input = "warm"
	strange    input = "strange"   // it says a role or an epoch that was not asked for
	restarted  input = "restarted" // the same role and epoch, another life
	halt       input = "halt"      // an operator stops all changes
	readmitted input = "readmitted"
	rested     input = "rested" // long enough aside to be asked again
)

type rule struct {
	from   []State
	in     input
	next   State
	effect func(*Core, *box)
}

// table lists, for a state and an input, the next state and the effect. Every state but Serving has a
// time-out with a way back, so that no change can be stranded; the way back of an order that may have been
// taken is another order under a higher epoch, never a guess that it was lost.
var table = []rule{
	{[]State{Serving}, chosen, Draining, (*Core).begin},
	{[]State{Draining}, empty, Ordered, (*Core).order},
	{[]State{Draining}, late, Serving, (*Core).back},
	{[]State{Draining}, halt, Serving, (*Core).back},
	{[]State{Ordered}, confirmed, Loading, nil},
	{[]State{Ordered, Loading, Returning}, came, Trying, (*Core).try},
	{[]State{Ordered, Loading}, late, Returning, (*Core).recall},
	{[]State{Returning}, late, Aside, (*Core).setAside},
	{[]State{Trying}, good, Cold, (*Core).enter},
	{[]State{Trying}, bad, Aside, (*Core).setAside},
	{[]State{Trying}, late, Aside, (*Core).setAside},
	{[]State{Cold}, warm, Serving, nil},
	{[]State{Serving, Cold}, restarted, Cold, (*Core).again},
	{[]State{Serving, Cold, Draining, Trying}, strange, Returning, (*Core).recall},
	{[]State{Aside}, rested, Returning, (*Core).recall},
	{[]State{Aside}, readmitted, Returning, (*Core).recall},
}

// Rows names the rows of the table.
func Rows() (names []string) {
	for i, r := range table {
		names = append(names, fmt.Sprintf("roles row %d: %v, %s, next %s", i+1, r.from, r.in, r.next))
	}
	return names
}

// happen is the only place where a state changes.
func (c *Core) happen(b *box, in input) bool {
	i := slices.IndexFunc(table, func(r rule) bool { return slices.Contains(r.from, b.State) && r.in == in })
	if i < 0 {
		return false
	}
	c.took |= 1 << i
	if b.State != table[i].next {
		b.State, b.Since = table[i].next, c.now
	}
	if table[i].effect != nil {
		table[i].effect(c, b)
	}
	c.keep(b)
	return true
}

// limit is how long a state may last before it counts as late; 0 for ever.
func (c *Core) limit(s State) time.Duration {
	switch s {
	case Draining:
		return c.bounds.Drain
	case Ordered:
		return c.bounds.Order
	case Loading, Returning:
		return c.bounds.Load
	case Trying:
		return c.bounds.Trial
	}
	return 0
}

func (c *Core) begin(b *box) {
	b.Next, b.NextEpoch = planapi.Other(b.Role), b.Epoch+1
	c.publish = true
	c.ask(b)
}

func (c *Core) order(b *box) {
	b.drained = c.now - b.Since
	c.publish = true
	c.ask(b)
}

// back ends a change before anything was asked that cannot be taken back by the same epoch.
func (c *Core) back(b *box) {
	b.Next, b.NextEpoch, b.rest = "", 0, c.now
	c.publish = true
	c.ask(b)
}

// recall asks for the role that the engine had last for sure, under an epoch over all that it may have heard
// of.
func (c *Core) recall(b *box) {
	b.Next, b.NextEpoch, b.rest = b.Role, max(b.Epoch, b.NextEpoch, b.said.Epoch)+1, c.now
	c.publish = true
	c.ask(b)
}

func (c *Core) try(b *box) {
	b.trial++
	c.out = append(c.out, Try{Engine: b.Engine, Role: b.Next, Epoch: b.NextEpoch, Number: b.trial})
}

// enter is the one place where an engine gets a role: it has shown it in a trial under the new epoch.
func (c *Core) enter(b *box) {
	b.Began = max(1, c.now-b.said.UpFor*int64(time.Millisecond)) // one that only took up its old role is no colder
	if b.Role != b.Next {
		c.changes = last(c.changes, change{c.now, c.now - b.started}, 8)
		b.samples, b.Began = nil, c.now
	}
	b.Role, b.Epoch, b.Next, b.NextEpoch = b.Next, b.NextEpoch, "", 0
	b.Life, b.rest = b.said.Life, c.now
	c.publish = true
}

func (c *Core) again(b *box) {
	b.Life, b.Began = b.said.Life, max(1, c.now-b.said.UpFor*int64(time.Millisecond))
	c.publish = true
}

func (c *Core) setAside(b *box) {
	b.tries++
	c.publish = true
	c.out = append(c.out,
		Tell{fmt.Sprintf("%s is set aside: %s; it is asked again after %v, or by an operator's readmit",
			b.Engine, b.trouble, c.resting(b))})
}

// resting doubles with each time that an engine is set aside, up to sixteenfold.
func (c *Core) resting(b *box) time.Duration { return c.bounds.Rest << min(max(b.tries-1, 0), 4) }
