package edge

import (
	"context"
	"errors"
	"time"
)

// ErrStopped says that the edge has stopped, so its state can no longer be read.
var ErrStopped = errors.New("edge has stopped")

const (
	// maxTurnDelay is how long responses and timers may wait while a full inbox is worked through. Events of a stream
	// have 0.3 s to reach the client in all.
	maxTurnDelay = int64(5 * time.Millisecond)
	// gaugeInterval is how often gauges are set. They are read every few seconds, so not every event needs to set them.
	gaugeInterval = int64(100 * time.Millisecond)
)

// ownerLoop is the state of the goroutine that owns the router.
type ownerLoop struct {
	edge  *Edge
	tasks []queuedTask // of this round; its memory is used again
	delay delayReport
	// When the owner last emptied the inbox, and when it did the time before: a poller that waits for capacity in a full
	// inbox hands over what it read before the last time.
	lastTaken, previouslyTaken int64
	gaugesSetAt                int64
}

// runOwner is the one goroutine that owns the router. It ends with Stop.
func (e *Edge) runOwner() {
	l := ownerLoop{edge: e, lastTaken: e.clock(), previouslyTaken: e.clock(), delay: newDelayReport(e)}
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		wake.Reset(max(0, time.Duration(e.router.NextDue()-e.clock())))
		select {
		case <-e.stopped:
			return
		case <-e.inbox.wake:
		case <-wake.C:
		}
		l.runTasks()
		l.setGauges()
		l.delay.logIfLate(e.clock())
	}
}

// runTasks runs all tasks that wait, and at least every maxTurnDelay what is due in the router.
func (l *ownerLoop) runTasks() {
	e := l.edge
	turnedAt := e.clock()
	e.router.SetTime(turnedAt)
	e.router.SetEarliestEventTime(l.previouslyTaken)
	l.lastTaken, l.previouslyTaken = turnedAt, l.lastTaken
	l.tasks = e.inbox.take(l.tasks)
	for _, task := range l.tasks {
		now := e.clock()
		if now-turnedAt >= maxTurnDelay {
			e.router.RunDue(now)
			turnedAt = now
		}
		e.router.SetTime(now)
		l.runUrgent()
		l.delay.note(requestTask, now, task.queuedAt)
		task.run()
	}
	l.runUrgent()
	e.router.RunDue(e.clock())
}

// setGauges sets the gauges when gaugeInterval has passed.
func (l *ownerLoop) setGauges() {
	now := l.edge.clock()
	if now-l.gaugesSetAt >= gaugeInterval {
		l.gaugesSetAt = now
		l.edge.metrics.setUsage(l.edge.router.InFlight())
	}
}

// runUrgent runs the tasks that overtake the inbox. The owner calls it.
func (l *ownerLoop) runUrgent() {
	for _, task := range l.edge.inbox.takeUrgent() {
		l.delay.note(listTask, l.edge.clock(), task.queuedAt)
		task.run()
	}
}

// queryOwner has the owner read something of its state, and waits for it.
func queryOwner[T any](ctx context.Context, e *Edge, read func() T) (value T, err error) {
	result := make(chan T, 1)
	e.inbox.put(0, func() { result <- read() })
	select {
	case value = <-result:
		return value, nil
	case <-e.stopped:
		return value, ErrStopped
	case <-ctx.Done():
		return value, ctx.Err()
	}
}
