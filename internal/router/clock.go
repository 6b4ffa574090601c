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
	readAt        int64 // when the event that is handled now was read from its socket; 0 where that is not known
	observed      ObservedTimes
	reapedAt      int64
}

// ObservedTimes are up to when all that the others sent has been handed over. What has not come by then has not been sent;
// until then it may wait to be read. 0 stands for the present.
type ObservedTimes struct{ Engines, Clients int64 }

// SetTime sets the time of the events that are handed over next.
func (c *clock) SetTime(now int64) { c.now, c.readAt = now, 0 }

// SetReadTime says when the events that are handed over next were read, until the next SetTime.
func (c *clock) SetReadTime(at int64) { c.readAt = at }

// SetObserved says what has been handed over.
func (c *clock) SetObserved(times ObservedTimes) { c.observed = times }

// eventTime is when the present event was read.
func (c *clock) eventTime() int64 {
	if c.readAt == 0 {
		return c.now
	}
	return min(c.now, c.readAt)
}

// enginesObserved is up to when all that engines sent is known. Whoever is silent is judged by it.
func (c *clock) enginesObserved() int64 { return observedOr(c.observed.Engines, c.now) }

// clientsObserved is up to when all that clients sent is known.
func (c *clock) clientsObserved() int64 { return observedOr(c.observed.Clients, c.now) }

func observedOr(observed, now int64) int64 {
	if observed == 0 {
		return now
	}
	return min(now, observed)
}

// SetEarliestEventTime says that the events that are handed over next happened after a time, however late they are handled.
func (c *clock) SetEarliestEventTime(at int64) { c.earliestEvent = at }

// earliestEventTime is the earliest time at which the present event may have happened.
func (c *clock) earliestEventTime() int64 {
	if c.earliestEvent == 0 {
		return c.now
	}
	return min(c.now, c.earliestEvent)
}

// arrivalTime is when the timeout of a request that is handled now began: when it was read or, where the process did not run
// for a while before that, as early as it may have come.
func (c *clock) arrivalTime() int64 {
	read := c.eventTime()
	if since := c.earliestEventTime(); read-since > delayThreshold {
		return since
	}
	return read
}

func (c *clock) nextReapAt() int64 { return c.reapedAt + reapInterval }

// reapDue is whether it is time to reap, which then counts as done.
func (c *clock) startReapIfDue() bool {
	if c.now < c.nextReapAt() {
		return false
	}
	c.reapedAt = c.now
	return true
}
