package edge

import (
	"context"
	"net"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"

	"sandcourse/internal/routing"
)

// PauseOwner keeps the owner from doing anything for a time, as a loaded machine does.
func (e *Edge) PauseOwner(d time.Duration) { e.inbox.put(clientLane, 0, func() { time.Sleep(d) }) }

// PanicOn makes the policy panic on events that fit.
func (e *Edge) PanicOn(fits func(routing.Event) bool) {
	e.inbox.put(clientLane, 0, func() {
		e.decisionHook = func(in routing.Event) {
			if fits(in) {
				panic("a fault put in by a test")
			}
		}
	})
}

// OnDecision calls f before each step of the policy.
func (e *Edge) OnDecision(f func(routing.Event)) {
	done := make(chan struct{})
	e.inbox.put(clientLane, 0, func() { e.decisionHook = f; close(done) })
	<-done
}

// OnSyncPoint calls f whenever a goroutine reaches a sync point. It is called before Start.
func (e *Edge) OnSyncPoint(f func(SyncPoint)) { e.syncPointHook = f }

// QueuedTasks is how many tasks wait for the owner.
func (e *Edge) QueuedTasks() int {
	e.inbox.mu.Lock()
	defer e.inbox.mu.Unlock()
	count := 0
	for i := range e.inbox.lanes {
		count += len(e.inbox.lanes[i].tasks)
	}
	return count
}

// UrgentPending is whether an endpoint list waits for the owner.
func (e *Edge) UrgentPending() bool { return e.inbox.hasTasks(listLane) }

// BlockOwner keeps the owner at one task until the returned function is called.
func (e *Edge) BlockOwner() (release func()) {
	reached, free := make(chan struct{}), make(chan struct{})
	e.inbox.put(clientLane, 0, func() { close(reached); <-free })
	<-reached
	return func() { close(free) }
}

// UseOnePoller makes one goroutine wait on all sockets of a side. It is called before Start.
func (e *Edge) UseOnePoller() { e.pollersPerSide = 1 }

// WaitingConnections is how many connections of clients wait until their poller may know of them.
func (e *Edge) WaitingConnections() (count int) {
	for _, marker := range e.clients.reuse.markers {
		marker.mu.Lock()
		count += len(marker.newWaiters) + len(marker.olderWaiters)
		marker.mu.Unlock()
	}
	return count
}

// UseDial makes the edge dial engines in another way. It is called before Start.
func (e *Edge) UseDial(dial func(ctx context.Context, address string) (net.Conn, error)) {
	e.engines.dial = dial
}

// MetricsAddr is where metrics are served.
func (e *Edge) MetricsAddr() string { return e.metricsListener.Addr().String() }

// MetricsCollector is all metrics that are registered, shown or not.
func (e *Edge) MetricsCollector() prometheus.Collector { return e.metrics.registry }

// DecisionSeconds is how long decisions have taken in all.
func (e *Edge) DecisionSeconds() float64 {
	var m dto.Metric
	if err := e.metrics.decisionSeconds.Write(&m); err != nil {
		return 0
	}
	return m.GetCounter().GetValue()
}
