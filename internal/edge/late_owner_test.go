package edge_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"sandcourse/internal/routing"
)

// eventLimit is within what an event of a stream has to be forwarded.
const eventLimit = 300 * time.Millisecond

func TestStreamOvertakesRequestsThatWaitForTheOwner(t *testing.T) {
	const waiting, decisionTime = 60, 20 * time.Millisecond
	gate := make(chan struct{})
	prefill := newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone))
	decode := newScriptedEngine(t, "127.0.0.3", func(int, *http.Request) (string, bool) {
		<-gate
		return completeStream, false
	})
	e := startPlatformEdge(t, 1024, nil, prefill, decode)
	defer e.Stop()
	first := dialRaw(t, e)
	first.send(requestText("first", "chat"))
	waitFor(t, "the decode has begun", func() bool { return decode.countRequests("POST") == 1 })
	e.OnDecision(func(event routing.Event) {
		if _, arrived := event.(routing.RequestArrived); arrived {
			time.Sleep(decisionTime)
		}
	})
	release := e.BlockOwner()
	before := e.QueuedTasks()
	for i := range waiting {
		dialRaw(t, e).send(requestText(fmt.Sprint("later", i), "chat"))
	}
	waitFor(t, "the requests wait for the owner", func() bool { return e.QueuedTasks() >= before+2*waiting }) // and their connections
	close(gate)
	waitFor(t, "the stream waits for the owner", func() bool { return e.QueuedTasks() >= before+2*waiting+4 })
	released := time.Now()
	release()
	status, body := first.readResponse()
	if took := time.Since(released); status != 200 || body != streamEvents || took > eventLimit {
		t.Errorf("status %d, body %q, after %v", status, body, took)
	}
}
