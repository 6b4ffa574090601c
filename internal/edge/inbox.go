package edge

import (
	"sync"
	"sync/atomic"
)

// queuedTask is a task that waits for the owner.
type queuedTask struct {
	run      func()
	queuedAt int64 // when it was brought, also where it then waited for capacity
}

// inbox is the bounded queue of tasks from the sockets to the owner. Who brings bytes waits while it is full, which slows
// the sockets down; what must not wait, such as the end of a connection, comes at most once a connection or is made by
// the owner itself.
type inbox struct {
	clock     func() int64
	wake      chan struct{} // holds one item while something waits
	hasUrgent atomic.Bool   // urgent is not empty

	mu           sync.Mutex
	capacity     *sync.Cond // there may be some again, or the inbox is closed
	tasks        []queuedTask
	urgent       []queuedTask // run before all tasks that wait
	queuedWeight int
	maxWeight    int
	closed       bool
}

func newInbox(maxWeight int, clock func() int64) *inbox {
	b := &inbox{clock: clock, maxWeight: maxWeight, wake: make(chan struct{}, 1)}
	b.capacity = sync.NewCond(&b.mu)
	return b
}

// put adds a task that the owner will run. Weight 0 never waits.
func (b *inbox) put(weight int, run func()) {
	task := queuedTask{run: run, queuedAt: b.clock()}
	b.mu.Lock()
	for weight > 0 && b.queuedWeight > 0 && b.queuedWeight+weight > b.maxWeight && !b.closed {
		b.capacity.Wait()
	}
	if !b.closed {
		b.tasks = append(b.tasks, task)
		b.queuedWeight += weight
	}
	b.mu.Unlock()
	b.wakeOwner()
}

// putUrgent adds a task that the owner runs before all that waits, and never waits itself. Endpoint lists come this way:
// the time within which a drain has to be respected begins when it is notified, not when the owner gets to it.
func (b *inbox) putUrgent(run func()) {
	task := queuedTask{run: run, queuedAt: b.clock()}
	b.mu.Lock()
	if !b.closed {
		b.urgent = append(b.urgent, task)
		b.hasUrgent.Store(true)
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

// takeUrgent hands over all urgent tasks.
func (b *inbox) takeUrgent() []queuedTask {
	if !b.hasUrgent.Load() {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	tasks := b.urgent
	b.urgent = nil
	b.hasUrgent.Store(false)
	return tasks
}

// take hands over all that waits; the memory of into is used again.
func (b *inbox) take(into []queuedTask) []queuedTask {
	b.mu.Lock()
	defer b.mu.Unlock()
	tasks := b.tasks
	clear(into)
	b.tasks, b.queuedWeight = into[:0], 0
	b.capacity.Broadcast()
	return tasks
}

// close drops all that waits and all that comes.
func (b *inbox) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed, b.tasks, b.urgent = true, nil, nil
	b.capacity.Broadcast()
}
