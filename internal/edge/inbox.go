package edge

import (
	"sync"
	"sync/atomic"
)

// inbox is the bounded queue from the sockets to the owner. Who brings bytes waits while it is full, which slows
// the sockets down; what must not wait, such as the end of a connection, comes at most once a connection or is
// made by the owner itself.
type inbox struct {
	mu     sync.Mutex
	room   *sync.Cond
	items  []func()
	urgent []func()    // run before all items that wait
	hurry  atomic.Bool // urgent is not empty
	weight int
	bound  int
	closed bool
	wake   chan struct{}
}

func newInbox(bound int) *inbox {
	b := &inbox{bound: bound, wake: make(chan struct{}, 1)}
	b.room = sync.NewCond(&b.mu)
	return b
}

// put adds an event that the owner will run. Weight 0 never waits.
func (b *inbox) put(weight int, event func()) {
	b.mu.Lock()
	for weight > 0 && b.weight > 0 && b.weight+weight > b.bound && !b.closed {
		b.room.Wait()
	}
	if !b.closed {
		b.items = append(b.items, event)
		b.weight += weight
	}
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// putUrgent adds an event that the owner runs before all that waits, and never waits itself. Lists of engines come
// this way: the time in which a drain has to be kept begins when it is told, not when the owner gets to it.
func (b *inbox) putUrgent(event func()) {
	b.mu.Lock()
	if !b.closed {
		b.urgent = append(b.urgent, event)
		b.hurry.Store(true)
	}
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// takeUrgent hands over all urgent events.
func (b *inbox) takeUrgent() []func() {
	if !b.hurry.Load() {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	row := b.urgent
	b.urgent = nil
	b.hurry.Store(false)
	return row
}

// take hands over all that waits; into is used again.
func (b *inbox) take(into []func()) []func() {
	b.mu.Lock()
	defer b.mu.Unlock()
	row := b.items
	clear(into)
	b.items, b.weight = into[:0], 0
	b.room.Broadcast()
	return row
}

func (b *inbox) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed, b.items, b.urgent = true, nil, nil
	b.room.Broadcast()
}
