package router

import "time"

// reapInterval is how often the router looks for what has no timer of its own and has waited too long.
const reapInterval = int64(25 * time.Millisecond)

// delayThreshold is how late an event may be handled before its request counts from when it happened. Below it the delay is
// that of a router with little to do.
const delayThreshold = 4 * reapInterval

// clock is the time as the router was last given it, in nanoseconds.
type clock struct {
	now           int64
	earliestEvent int64 // events that are handled now happened after this; 0 where that is not known
	reapedAt      int64
}

// SetTime sets the time of the events that are handed over next.
func (c *clock) SetTime(now int64) { c.now = now }

// SetEarliestEventTime says that the events that are handed over next happened after a time, however late they are handled.
func (c *clock) SetEarliestEventTime(at int64) { c.earliestEvent = at }

// earliestEventTime is the earliest time at which the present event may have happened.
func (c *clock) earliestEventTime() int64 {
	if c.earliestEvent == 0 {
		return c.now
	}
	return min(c.now, c.earliestEvent)
}

// arrivalTime is when the timeout of a request that is received now begins: where the process did not run for a while, the
// request may have waited all that time.
func (c *clock) arrivalTime() int64 {
	if since := c.earliestEventTime(); c.now-since > delayThreshold {
		return since
	}
	return c.now
}

func (c *clock) nextReap() int64 { return c.reapedAt + reapInterval }

// reapDue is whether it is time to reap, which then counts as done.
func (c *clock) reapDue() bool {
	if c.now < c.nextReap() {
		return false
	}
	c.reapedAt = c.now
	return true
}
