package emulator

import (
	"container/heap"
	"time"
)

// startTime is the clock at the start of a run, in nanoseconds.
const startTime = int64(1000 * time.Second)

// clock is simulated time, with what is scheduled in it.
type clock struct {
	now      int64
	sequence int64
	queue    eventQueue
}

// after schedules what happens some time from now.
func (c *clock) after(d time.Duration, run func()) { c.at(c.now+int64(max(0, d)), run) }

// at schedules what happens at a time. Events of the same time happen in the order in which they were scheduled.
func (c *clock) at(t int64, run func()) {
	heap.Push(&c.queue, event{max(t, c.now), c.nextSequence(), run})
}

// nextSequence is a number that orders events and connections.
func (c *clock) nextSequence() int64 {
	c.sequence++
	return c.sequence
}

// runNext advances to the next event and runs it. It reports false if there is none until end.
func (c *clock) runNext(end int64) bool {
	if len(c.queue) == 0 || c.queue[0].at > end {
		return false
	}
	e := heap.Pop(&c.queue).(event)
	c.now = e.at
	e.run()
	return true
}

// event is something that is scheduled.
type event struct {
	at       int64
	sequence int64
	run      func()
}

// eventQueue is a heap of events by time.
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
