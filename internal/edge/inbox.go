package edge

import (
	"sync"
	"sync/atomic"
)

// lane is what a task is about, and so how soon the owner runs it: an earlier lane goes first.
type lane uint8

// The lanes of an inbox. Within a lane tasks keep their order.
const (
	listLane   lane = iota // endpoint lists: the time within which a drain has to be respected begins when it is notified
	engineLane             // what engines send, and the ends of dials and of connections to them
	clientLane             // what clients send, and all the rest
	laneCount
)

// laneNames are labels of metrics.
var laneNames = [laneCount]string{listLane: "list", engineLane: "engine", clientLane: "client"}

// queuedTask is a task that waits for the owner.
type queuedTask struct {
	run      func()
	queuedAt int64 // when it was brought, also where it then waited for capacity
	// happenedAfter is when the process is known to have been run before the task was brought: where it is not run for a
	// while, what a task is about may have happened at any time since.
	happenedAfter int64
}

// inbox is the bounded queue of tasks from the sockets to the owner. Who brings bytes waits while their lane is full, which
// slows the sockets down; what must not wait, such as the end of a connection, comes at most once a connection or is made by
// the owner itself.
type inbox struct {
	clock    func() int64
	wake     chan struct{} // holds one item while something waits
	lastTurn atomic.Int64  // when the owner began its turn before the present one

	mu     sync.Mutex
	lanes  [laneCount]queue
	closed bool
}

// queue is one lane of an inbox.
type queue struct {
	capacity  *sync.Cond // there may be some again, or the inbox is closed
	waiting   atomic.Bool
	tasks     []queuedTask
	weight    int
	maxWeight int
}

// newInbox makes an inbox for tasks of a weight, of which engines and clients have a half each.
func newInbox(maxWeight int, clock func() int64) *inbox {
	b := &inbox{clock: clock, wake: make(chan struct{}, 1)}
	for i := range b.lanes {
		b.lanes[i].capacity = sync.NewCond(&b.mu)
		b.lanes[i].maxWeight = maxWeight / 2
	}
	return b
}

// put adds a task that the owner will run. Weight 0 never waits.
func (b *inbox) put(in lane, weight int, run func()) {
	task := queuedTask{run: run, queuedAt: b.clock(), happenedAfter: b.lastTurn.Load()}
	q := &b.lanes[in]
	b.mu.Lock()
	for weight > 0 && q.weight > 0 && q.weight+weight > q.maxWeight && !b.closed {
		q.capacity.Wait()
	}
	if !b.closed {
		q.tasks = append(q.tasks, task)
		q.weight += weight
		q.waiting.Store(true)
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

// isWaiting is whether a lane has tasks.
func (b *inbox) isWaiting(in lane) bool { return b.lanes[in].waiting.Load() }

// take hands over all that waits in a lane; the memory of into is used again.
func (b *inbox) take(in lane, into []queuedTask) []queuedTask {
	clear(into)
	into = into[:0]
	q := &b.lanes[in]
	if !q.waiting.Load() {
		return into
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	tasks := q.tasks
	q.tasks, q.weight = into, 0
	q.waiting.Store(false)
	q.capacity.Broadcast()
	return tasks
}

// close drops all that waits and all that comes.
func (b *inbox) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	for i := range b.lanes {
		b.lanes[i].tasks = nil
		b.lanes[i].waiting.Store(false)
		b.lanes[i].capacity.Broadcast()
	}
}
