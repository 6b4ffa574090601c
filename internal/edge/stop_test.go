package edge_test

import (
	"regexp"
	"runtime"
	"testing"
	"time"

	"sandcourse/internal/edge"
)

// pollersStopping matches the stack of a goroutine in which the socket library waits for its connections to end.
var pollersStopping = regexp.MustCompile(`\(\*WaitGroup\)\.Wait\([^\n]*\n[^\n]*\n[^\n]*nbio\.\(\*Engine\)\.Stop`)

// A client's connection that is accepted just as the edge stops reaches its poller after the socket library has closed all
// connections that it knew of. The edge has to end all the same, though the client never closes.
func TestStopWithAcceptedConnection(t *testing.T) {
	n := newPlatformEdge(t, 1024, nil, newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone)),
		newScriptedEngine(t, "127.0.0.3", respondWith(completeStream)))
	reached, proceed := make(chan struct{}), make(chan struct{})
	block := make(chan bool, 1)
	block <- false
	n.OnSyncPoint(func(at edge.SyncPoint) {
		if at != edge.ClientAccepted {
			return
		}
		on := <-block
		block <- false
		if on {
			close(reached)
			<-proceed
		}
	})
	startReady(t, n)
	<-block
	block <- true
	dialRaw(t, n)
	waitForSignal(t, reached)
	stopped := make(chan struct{})
	go func() {
		n.Stop()
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

// awaitStack returns once the stacks of all goroutines match.
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
