package emulator

import (
	"container/heap"
	"time"
)

// startTime is the clock at the start of a run, in nanoseconds.
const startTime = int64(1000 * time.Second)

// clock is the simulated time and the queue of scheduled events.
type clock struct {
	now      int64
	sequence int64
	queue    eventQueue
}

// scheduleAfter schedules an event after a delay.
func (c *clock) scheduleAfter(delay time.Duration, run func()) {
	c.scheduleAt(c.now+int64(max(0, delay)), run)
}

// scheduleAt schedules an event at a time. Events at the same time run in the order in which they were scheduled.
func (c *clock) scheduleAt(at int64, run func()) {
	heap.Push(&c.queue, event{max(at, c.now), c.nextSequence(), run})
}

// nextSequence returns the next number by which events and connections are ordered.
func (c *clock) nextSequence() int64 {
	c.sequence++
	return c.sequence
}

// runNext advances the time to the next event and runs the event. It returns false if no event is scheduled until end.
func (c *clock) runNext(end int64) bool {
	if len(c.queue) == 0 || c.queue[0].at > end {
		return false
	}
	e := heap.Pop(&c.queue).(event)
	c.now = e.at
	e.run()
	return true
}

// event is a scheduled event.
type event struct {
	at       int64
	sequence int64
	run      func()
}

// eventQueue is a heap of events, ordered by time and sequence number.
type eventQueue []event

// Len implements heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

// Swap implements heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return e
}
