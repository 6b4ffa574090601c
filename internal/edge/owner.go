package edge

import (
	"context"
	"errors"
	"time"

	"sandcourse/internal/localpause"
	"sandcourse/internal/router"
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
	edge         *Edge
	listTasks    []queuedTask // of this turn; the memory of all three is used again
	engineTasks  []queuedTask
	clientTasks  []queuedTask
	nextClient   int  // the first of clientTasks that has not been run
	runningLists bool // listTasks are being run
	delay        delayReport
	pauses       localpause.Detector
	// When the present turn began, and the one before: a poller that is about to hand over what it read may have read it
	// before the present one.
	turnedAt, previouslyTurned int64
	observed                   router.ObservedTimes
	ranDueAt                   int64
	gaugesSetAt                int64
}

// runOwner is the one goroutine that owns the router. It ends with Stop.
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
		l.pauses.Look(e.clock(), due)
		l.runTasks()
	}
}

// runTasks runs all tasks that wait. What engines sent goes before each task of a client: an attempt that is under way has
// only so much time for its next step, and the engine's work is lost without it.
func (l *ownerLoop) runTasks() {
	for !l.edge.isStopped() {
		l.beginTurn()
		l.setGauges()
		l.delay.logIfLate(l.turnedAt)
		l.runEngineTasks()
		if !l.runClientTasks() {
			return
		}
	}
}

// now looks at the clock.
func (l *ownerLoop) now() int64 {
	now := l.edge.clock()
	l.pauses.Look(now, 0)
	return now
}

func (l *ownerLoop) beginTurn() {
	now := l.now()
	l.turnedAt, l.previouslyTurned = now, l.turnedAt
	l.edge.inbox.lastTurn.Store(l.previouslyTurned)
}

// runEngineTasks runs what engines sent, and then what is due.
func (l *ownerLoop) runEngineTasks() {
	before := l.now()
	l.engineTasks = l.edge.inbox.take(engineLane, l.engineTasks)
	for _, task := range l.engineTasks {
		l.run(engineLane, task)
	}
	l.observed.Engines = max(l.observed.Engines, l.pauses.Observed(before))
	l.runDue()
}

// runClientTasks runs what clients sent until something else has to be looked at. It returns whether there was any.
func (l *ownerLoop) runClientTasks() bool {
	if l.nextClient == len(l.clientTasks) {
		before := l.now()
		l.clientTasks, l.nextClient = l.edge.inbox.take(clientLane, l.clientTasks), 0
		if len(l.clientTasks) == 0 {
			l.observed.Clients = max(l.observed.Clients, l.pauses.Observed(before))
			return false
		}
	}
	for l.nextClient < len(l.clientTasks) {
		task := l.clientTasks[l.nextClient]
		l.nextClient++
		l.observed.Clients = max(l.observed.Clients, l.pauses.Observed(task.queuedAt))
		l.run(clientLane, task)
		if l.edge.inbox.isWaiting(engineLane) || l.now()-l.turnedAt >= maxTurnDelay {
			break
		}
	}
	return true
}

// run runs a task, at least every maxTurnDelay after what is due in the router, and always after new endpoint lists.
func (l *ownerLoop) run(in lane, task queuedTask) {
	if l.now()-l.ranDueAt >= maxTurnDelay {
		l.runDue()
	}
	l.runLists()
	l.runNow(in, task)
}

func (l *ownerLoop) runNow(in lane, task queuedTask) {
	now := l.now()
	l.edge.router.SetTime(now)
	l.edge.router.SetReadTime(task.queuedAt)
	l.edge.router.SetEarliestEventTime(task.happenedAfter)
	l.delay.note(in, now, task.queuedAt)
	task.run()
}

// runLists runs what waits of endpoint lists. A list that comes while another is applied waits for its end, though the policy
// decides on the first meanwhile: lists keep their order.
func (l *ownerLoop) runLists() {
	if l.runningLists {
		return
	}
	l.runningLists = true
	defer func() { l.runningLists = false }()
	for l.edge.inbox.isWaiting(listLane) {
		l.listTasks = l.edge.inbox.take(listLane, l.listTasks)
		for _, task := range l.listTasks {
			l.runNow(listLane, task)
		}
	}
}

// CatchUp runs what waits of endpoint lists: a drain that was told during a decision is known before it is carried out. The
// router calls it.
func (e *Edge) CatchUp() {
	e.router.SetTime(e.owner.now())
	e.owner.runLists()
}

// runDue runs what is due in the router, after new endpoint lists.
func (l *ownerLoop) runDue() {
	l.runLists()
	now := l.now()
	l.ranDueAt = now
	l.edge.router.SetObserved(l.observed)
	l.edge.router.SetEarliestEventTime(l.previouslyTurned)
	l.edge.router.RunDue(now)
}

// setGauges sets the gauges when gaugeInterval has passed.
func (l *ownerLoop) setGauges() {
	if l.turnedAt-l.gaugesSetAt >= gaugeInterval {
		l.gaugesSetAt = l.turnedAt
		l.edge.metrics.setUsage(l.edge.router.InFlight())
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

// queryOwner has the owner read something of its state, and waits for it. What clients sent before is handled first.
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
