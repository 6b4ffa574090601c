package edge_test

import (
	"sync/atomic"
	"testing"
	"time"

	"sandcourse/internal/edge"
)

// pausePoint pauses the first goroutine that reaches a sync point after the pausePoint has been armed.
type pausePoint struct {
	syncPoint     edge.SyncPoint
	readableCount atomic.Int64 // number of times that ClientReadable was reached
	armed         atomic.Bool
	reached       chan struct{}
	resume        chan struct{}
}

func newPausePoint(e *edge.Edge, point edge.SyncPoint) *pausePoint {
	p := &pausePoint{syncPoint: point, reached: make(chan struct{}), resume: make(chan struct{})}
	e.OnSyncPoint(func(at edge.SyncPoint) {
		if at == edge.ClientReadable {
			p.readableCount.Add(1)
		}
		if at == p.syncPoint && p.armed.CompareAndSwap(true, false) {
			close(p.reached)
			<-p.resume
		}
	})
	return p
}

func (p *pausePoint) wait(t *testing.T) {
	t.Helper()
	select {
	case <-p.reached:
	case <-time.After(10 * time.Second):
		t.Fatalf("sync point not reached: %s", p.syncPoint)
	}
}
