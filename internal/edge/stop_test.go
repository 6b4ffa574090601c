package edge_test

import (
	"regexp"
	"runtime"
	"testing"
	"time"

	"sandcourse/internal/edge"
)

// pollersStopping matches the stack of a goroutine in which the socket library waits for its connections to close.
var pollersStopping = regexp.MustCompile(`\(\*WaitGroup\)\.Wait\([^\n]*\n[^\n]*\n[^\n]*nbio\.\(\*Engine\)\.Stop`)

// A client connection that is accepted just as the edge stops is registered with its poller after the socket library has
// closed all registered connections. The edge has to stop nevertheless, even if the client never closes.
func TestStopWithAcceptedConnection(t *testing.T) {
	e := newPlatformEdge(t, 1024, nil, newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone)),
		newScriptedEngine(t, "127.0.0.3", respondWith(completeStream)))
	reached, proceed := make(chan struct{}), make(chan struct{})
	pauseNext := make(chan bool, 1)
	pauseNext <- false
	e.OnSyncPoint(func(at edge.SyncPoint) {
		if at != edge.ClientAccepted {
			return
		}
		pause := <-pauseNext
		pauseNext <- false
		if pause {
			close(reached)
			<-proceed
		}
	})
	startAndAwaitReady(t, e)
	<-pauseNext
	pauseNext <- true
	dialRaw(t, e)
	waitForSignal(t, reached)
	stopped := make(chan struct{})
	go func() {
		e.Stop()
		close(stopped)
	}()
	awaitStack(t, pollersStopping)
	close(proceed)
	select {
	case <-stopped:
	case <-time.After(5 * time.Second):
		t.Fatal("the edge does not stop while a client's connection is open")
	}
}

// awaitStack returns once the dump of all goroutines' stacks matches a pattern.
func awaitStack(t *testing.T, pattern *regexp.Regexp) {
	t.Helper()
	stacks := make([]byte, 1<<20)
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if pattern.Match(stacks[:runtime.Stack(stacks, true)]) {
			return
		}
	}
	t.Fatalf("no goroutine's stack matches %s", pattern)
}
