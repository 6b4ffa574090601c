package edge

import (
	"sync"
	"sync/atomic"
)

// lane is the kind of a task, which determines its priority: the owner runs lower lanes first.
type lane uint8

// The lanes of an inbox. Tasks of the same lane run in the order in which they were added.
const (
	listLane   lane = iota // endpoint lists: the grace of a drain begins when its list is put into the inbox
	engineLane             // data from engines, results of dials, and closed engine connections
	clientLane             // data from clients, and everything else
	laneCount
)

// laneNames are label values of metrics.
var laneNames = [laneCount]string{listLane: "list", engineLane: "engine", clientLane: "client"}

// taskOverhead is the memory, in bytes, that a waiting task takes beside its data.
const taskOverhead = 256

// queuedTask is a task that waits for the owner.
type queuedTask struct {
	run      func()
	queuedAt int64 // time of the call of put, before any wait for capacity
	// earliestEvent is a time before the call of put at which the process was known to be running. If the process is paused,
	// the event behind the task may have happened at any time since.
	earliestEvent int64
}

// inbox is the bounded queue of tasks from the sockets to the owner. A goroutine that adds a task with a weight blocks while
// the lane is full, and reads no more from its sockets meanwhile. Tasks that must not block, such as the close of a
// connection, have weight 0; they occur at most once per connection or are added by the owner itself.
type inbox struct {
	clock          func() int64
	wake           chan struct{} // signal to the owner: holds one item while tasks wait
	previousTurnAt atomic.Int64  // start of the owner's turn before the current one

	mu     sync.Mutex
	lanes  [laneCount]queue
	closed bool
}

// queue is one lane of an inbox.
type queue struct {
	capacityFreed *sync.Cond // signaled when tasks are taken or the inbox is closed
	hasTasks      atomic.Bool
	tasks         []queuedTask
	weight        int
	maxWeight     int
}

// newInbox returns an inbox with a maximum total weight, half of which is for engines and half for clients.
func newInbox(maxWeight int, clock func() int64) *inbox {
	b := &inbox{clock: clock, wake: make(chan struct{}, 1)}
	for i := range b.lanes {
		b.lanes[i].capacityFreed = sync.NewCond(&b.mu)
		b.lanes[i].maxWeight = maxWeight / 2
	}
	return b
}

// put adds a task for the owner to run. The weight of a task is the size of its data. It blocks while the lane is full, except for
// tasks of weight 0.
func (b *inbox) put(taskLane lane, weight int, run func()) {
	if weight > 0 {
		weight += taskOverhead
	}
	task := queuedTask{run: run, queuedAt: b.clock(), earliestEvent: b.previousTurnAt.Load()}
	q := &b.lanes[taskLane]
	b.mu.Lock()
	for weight > 0 && q.weight > 0 && q.weight+weight > q.maxWeight && !b.closed {
		q.capacityFreed.Wait()
	}
	if !b.closed {
		q.tasks = append(q.tasks, task)
		q.weight += weight
		q.hasTasks.Store(true)
	}
	b.mu.Unlock()
	b.wakeOwner()
}

func (b *inbox) wakeOwner() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// hasTasks reports whether tasks wait in a lane.
func (b *inbox) hasTasks(taskLane lane) bool { return b.lanes[taskLane].hasTasks.Load() }

// takeAll removes and returns all tasks of a lane; it reuses the memory of into.
func (b *inbox) takeAll(taskLane lane, into []queuedTask) []queuedTask {
	clear(into)
	into = into[:0]
	q := &b.lanes[taskLane]
	if !q.hasTasks.Load() {
		return into
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	tasks := q.tasks
	q.tasks, q.weight = into, 0
	q.hasTasks.Store(false)
	q.capacityFreed.Broadcast()
	return tasks
}

// close drops all waiting tasks and all tasks added later.
func (b *inbox) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	for i := range b.lanes {
		b.lanes[i].tasks = nil
		b.lanes[i].hasTasks.Store(false)
		b.lanes[i].capacityFreed.Broadcast()
	}
}
