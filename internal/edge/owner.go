package edge

import (
	"context"
	"errors"
	"time"

	"sandcourse/internal/localpause"
	"sandcourse/internal/router"
)

// ErrStopped means that the edge has stopped, so its state can no longer be read.
var ErrStopped = errors.New("edge has stopped")

const (
	// maxTurnDelay is how long responses and timers may wait while the owner processes a full inbox. Events of a stream
	// have to reach the client within 0.3 s in total.
	maxTurnDelay = int64(5 * time.Millisecond)
	// gaugeInterval is how often gauges are set. They are scraped every few seconds, so not every event has to set them.
	gaugeInterval = int64(100 * time.Millisecond)
)

// ownerLoop is the state of the goroutine that owns the router.
type ownerLoop struct {
	edge               *Edge
	listTasks          []queuedTask // waiting tasks of this turn; the memory of all three slices is reused
	engineTasks        []queuedTask
	clientTasks        []queuedTask
	nextClientTask     int  // index of the first of clientTasks that has not been run
	isRunningListTasks bool // true while runListTasks runs
	delay              delayReport
	pauses             localpause.Detector
	// Start times of the current and the previous turn: a poller that is about to add a task may have read its data before
	// the current turn.
	turnStartedAt, previousTurnAt int64
	observed                      router.ObservedTimes
	dueTimersRanAt                int64
	gaugesSetAt                   int64
}

// runOwner is the main loop of the goroutine that owns the router. It returns after Stop.
func (e *Edge) runOwner() {
	l := e.owner
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		due := e.router.NextDue()
		wake.Reset(max(0, time.Duration(due-l.now())))
		select {
		case <-e.stopped:
			return
		case <-e.inbox.wake:
		case <-wake.C:
		}
		l.pauses.Update(e.clock(), due)
		l.runTasks()
	}
}

// runTasks runs all waiting tasks. Tasks from engines run before each task from a client: the next step of an attempt in
// progress has a time limit, and the engine's work is lost if the limit is exceeded.
func (l *ownerLoop) runTasks() {
	for !l.edge.isStopped() {
		l.beginTurn()
		l.setGauges()
		l.delay.logIfLate(l.turnStartedAt)
		l.runEngineTasks()
		if !l.runClientTasks() {
			return
		}
	}
}

// now returns the current time and records the reading for pause detection.
func (l *ownerLoop) now() int64 {
	now := l.edge.clock()
	l.pauses.Update(now, 0)
	return now
}

func (l *ownerLoop) beginTurn() {
	now := l.now()
	l.turnStartedAt, l.previousTurnAt = now, l.turnStartedAt
	l.edge.inbox.previousTurnAt.Store(l.previousTurnAt)
}

// runEngineTasks runs tasks from engines, and then the router's due timers.
func (l *ownerLoop) runEngineTasks() {
	before := l.now()
	l.engineTasks = l.edge.inbox.takeAll(engineLane, l.engineTasks)
	for _, task := range l.engineTasks {
		l.runTask(engineLane, task)
	}
	l.observed.Engines = max(l.observed.Engines, l.pauses.ObservedUntil(before))
	l.runDueTimers()
}

// runClientTasks runs tasks from clients until engine tasks wait or maxTurnDelay has passed. It returns false if no task from
// a client waited.
func (l *ownerLoop) runClientTasks() bool {
	if l.nextClientTask == len(l.clientTasks) {
		before := l.now()
		l.clientTasks, l.nextClientTask = l.edge.inbox.takeAll(clientLane, l.clientTasks), 0
		if len(l.clientTasks) == 0 {
			l.observed.Clients = max(l.observed.Clients, l.pauses.ObservedUntil(before))
			return false
		}
	}
	for l.nextClientTask < len(l.clientTasks) {
		task := l.clientTasks[l.nextClientTask]
		l.nextClientTask++
		l.observed.Clients = max(l.observed.Clients, l.pauses.ObservedUntil(task.queuedAt))
		l.runTask(clientLane, task)
		if l.edge.inbox.hasTasks(engineLane) || l.now()-l.turnStartedAt >= maxTurnDelay {
			break
		}
	}
	return true
}

// runTask runs a task. All new endpoint lists are applied first, and at least every maxTurnDelay the router's due timers run
// first, too.
func (l *ownerLoop) runTask(taskLane lane, task queuedTask) {
	if l.now()-l.dueTimersRanAt >= maxTurnDelay {
		l.runDueTimers()
	}
	l.runListTasks()
	l.executeTask(taskLane, task)
}

func (l *ownerLoop) executeTask(taskLane lane, task queuedTask) {
	now := l.now()
	l.edge.router.SetTime(now)
	l.edge.router.SetReadTime(task.queuedAt)
	l.edge.router.SetEarliestEventTime(task.earliestEvent)
	l.delay.record(taskLane, now, task.queuedAt)
	task.run()
}

// runListTasks applies the waiting endpoint lists. A nested call has no effect, which keeps lists in order: while a list
// is applied, the policy decides on it and CatchUp is called, but a further list has to wait until the first is applied.
func (l *ownerLoop) runListTasks() {
	if l.isRunningListTasks {
		return
	}
	l.isRunningListTasks = true
	defer func() { l.isRunningListTasks = false }()
	for l.edge.inbox.hasTasks(listLane) {
		l.listTasks = l.edge.inbox.takeAll(listLane, l.listTasks)
		for _, task := range l.listTasks {
			l.executeTask(listLane, task)
		}
	}
}

// CatchUp applies the waiting endpoint lists, so that a drain that was reported during a decision is taken into account
// before the resulting actions are performed. The router calls it.
func (e *Edge) CatchUp() {
	e.router.SetTime(e.owner.now())
	e.owner.runListTasks()
}

// runDueTimers runs the router's due timers, after all new endpoint lists.
func (l *ownerLoop) runDueTimers() {
	l.runListTasks()
	now := l.now()
	l.dueTimersRanAt = now
	l.edge.router.SetObserved(l.observed)
	l.edge.router.SetEarliestEventTime(l.previousTurnAt)
	l.edge.router.RunDue(now)
}

// setGauges sets the gauges at most once in gaugeInterval.
func (l *ownerLoop) setGauges() {
	if l.turnStartedAt-l.gaugesSetAt >= gaugeInterval {
		l.gaugesSetAt = l.turnStartedAt
		l.edge.metrics.setUsage(l.edge.router.InFlight(), l.edge.engines.buffer.used.Load())
	}
}

func (e *Edge) isStopped() bool {
	select {
	case <-e.stopped:
		return true
	default:
		return false
	}
}

// queryOwner runs read on the owner, which has access to the edge's state, and returns the result. Tasks from clients that
// were added earlier run first.
func queryOwner[T any](ctx context.Context, e *Edge, read func() T) (value T, err error) {
	result := make(chan T, 1)
	e.inbox.put(clientLane, 0, func() { result <- read() })
	select {
	case value = <-result:
		return value, nil
	case <-e.stopped:
		return value, ErrStopped
	case <-ctx.Done():
		return value, ctx.Err()
	}
}
