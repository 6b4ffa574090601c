package router

import "time"

// reapInterval is how often the router checks the time limits that have no timer of their own.
const reapInterval = int64(25 * time.Millisecond)

// delayThreshold is the longest gap between the earliest possible arrival of a request and the time at which it was read
// for which the timeout of the request counts from the read. Shorter gaps occur even under little load.
const delayThreshold = 4 * reapInterval

// clock holds the time that was last passed to the router, in nanoseconds.
type clock struct {
	now           int64
	earliestEvent int64 // a time before the current events happened; 0 if unknown
	readAt        int64 // time at which the current event was read from its socket; 0 if unknown
	observed      ObservedTimes
	reapedAt      int64
}

// ObservedTimes holds the times up to which all input from engines and from clients was passed to the router. Input that was
// sent later may still be unread. 0 means the current time.
type ObservedTimes struct{ Engines, Clients int64 }

// SetTime sets the time of the events that follow.
func (c *clock) SetTime(now int64) { c.now, c.readAt = now, 0 }

// SetReadTime sets when the events that follow were read from their sockets. It holds until the next SetTime.
func (c *clock) SetReadTime(at int64) { c.readAt = at }

// SetObserved sets the times up to which all input was passed to the router.
func (c *clock) SetObserved(times ObservedTimes) { c.observed = times }

// eventTime returns when the current event was read.
func (c *clock) eventTime() int64 {
	if c.readAt == 0 {
		return c.now
	}
	return min(c.now, c.readAt)
}

// enginesObserved returns the time up to which all input from engines is known. The timeouts of silent engines are checked
// against it.
func (c *clock) enginesObserved() int64 { return observedOr(c.observed.Engines, c.now) }

// clientsObserved returns the time up to which all input from clients is known.
func (c *clock) clientsObserved() int64 { return observedOr(c.observed.Clients, c.now) }

func observedOr(observed, now int64) int64 {
	if observed == 0 {
		return now
	}
	return min(now, observed)
}

// SetEarliestEventTime sets a time after which the events that follow happened, however late they are handled.
func (c *clock) SetEarliestEventTime(at int64) { c.earliestEvent = at }

// earliestEventTime returns the earliest time at which the current event may have happened.
func (c *clock) earliestEventTime() int64 {
	if c.earliestEvent == 0 {
		return c.now
	}
	return min(c.now, c.earliestEvent)
}

// arrivalTime returns when the timeout of the request that is handled now began: when the request was read or, if the
// process did not run for a while before that, the earliest time at which the request may have arrived.
func (c *clock) arrivalTime() int64 {
	read := c.eventTime()
	if since := c.earliestEventTime(); read-since > delayThreshold {
		return since
	}
	return read
}

func (c *clock) nextReapAt() int64 { return c.reapedAt + reapInterval }

// startReapIfDue reports whether reap is due, and if so records that reap runs now.
func (c *clock) startReapIfDue() bool {
	if c.now < c.nextReapAt() {
		return false
	}
	c.reapedAt = c.now
	return true
}
