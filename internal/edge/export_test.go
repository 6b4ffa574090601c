package edge

import (
	"context"
	"net"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"sandcourse/internal/routing"
)

// Freeze keeps the owner from doing anything for a time, as a loaded machine does.
func (n *Node) Freeze(d time.Duration) { n.in.put(0, func() { time.Sleep(d) }) }

// FailOn makes the module panic on inputs that fit.
func (n *Node) FailOn(fits func(routing.Event) bool) {
	n.in.put(0, func() {
		n.fail = func(in routing.Event) {
			if fits(in) {
				panic("a fault put in by a test")
			}
		}
	})
}

// HoldAt calls f whenever a goroutine passes a point. It is called before Start.
func (n *Node) HoldAt(f func(Point)) { n.hold = f }

// Queued is how many events wait for the owner.
func (n *Node) Queued() int {
	n.in.mu.Lock()
	defer n.in.mu.Unlock()
	return len(n.in.items)
}

// Urgent is whether a list waits for the owner.
func (n *Node) Urgent() bool { return n.in.hurry.Load() }

// Block keeps the owner at one event until the returned function is called.
func (n *Node) Block() (release func()) {
	reached, free := make(chan struct{}), make(chan struct{})
	n.in.put(0, func() { close(reached); <-free })
	<-reached
	return func() { close(free) }
}

// OnePoller makes one goroutine wait on all sockets of a side. It is called before Start.
func (n *Node) OnePoller() { n.pollers = 1 }

// HeldBack is how many connections of clients wait until their poller may hear of them.
func (n *Node) HeldBack() (count int) {
	for _, s := range n.frontBarrier.pollers {
		s.mu.Lock()
		count += len(s.coming) + len(s.seen)
		s.mu.Unlock()
	}
	return count
}

// DialBy makes the node dial engines in another way. It is called before Start.
func (n *Node) DialBy(dial func(ctx context.Context, address string) (net.Conn, error)) {
	n.dial = dial
}

// PagesAddr is where metrics are served.
func (n *Node) PagesAddr() string { return n.pages.Addr().String() }

// Meters are all metrics that are registered, shown or not.
func (n *Node) Meters() prometheus.Collector { return n.metrics.registry }
