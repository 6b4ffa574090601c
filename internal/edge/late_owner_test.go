package edge_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"sandcourse/internal/edge"
	"sandcourse/internal/endpoint"
	"sandcourse/internal/routing"
)

// eventLimit is the time within which an event of a stream has to be forwarded.
const eventLimit = 300 * time.Millisecond

func TestStreamIsForwardedBeforeQueuedRequests(t *testing.T) {
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
	// Each client adds one task for its connection and one for its request.
	waitFor(t, "the requests wait for the owner", func() bool { return e.QueuedTasks() >= before+2*waiting })
	close(gate)
	waitFor(t, "the stream waits for the owner", func() bool { return e.QueuedTasks() >= before+2*waiting+4 })
	released := time.Now()
	release()
	status, body := first.readResponse()
	if elapsed := time.Since(released); status != 200 || body != streamEvents || elapsed > eventLimit {
		t.Errorf("status %d, body %q, after %v", status, body, elapsed)
	}
}

func TestResponseDelayedByOwnerIsNotEngineFault(t *testing.T) {
	const pause = 900 * time.Millisecond // longer than the limits for a dial, a control request and half an objective
	for _, pausedStage := range []string{"dial", "prefill", "decode"} {
		var e *edge.Edge
		pauses := make(chan string, 1)
		pauses <- pausedStage
		pauseOnce := func(stage string) {
			select {
			case next := <-pauses:
				if next == stage {
					e.PauseOwner(pause)
				} else {
					pauses <- next
				}
			default:
			}
		}
		reply := func(stage, wire string) func(int, *http.Request) (string, bool) {
			return func(int, *http.Request) (string, bool) {
				pauseOnce(stage)
				return wire, false
			}
		}
		prefill := newScriptedEngine(t, "127.0.0.2", reply("prefill", prefillDone))
		decode := newScriptedEngine(t, "127.0.0.3", reply("decode", completeStream))
		core, logs := observer.New(zap.InfoLevel)
		e = newLoggedPlatformEdge(t, 1024, nil, fixedSource{readyEntry("s-1", "m1", prefill), readyEntry("s-2", "m2", decode)}, zap.New(core))
		e.UseDial(func(ctx context.Context, address string) (net.Conn, error) {
			pauseOnce("dial")
			var d net.Dialer
			return d.DialContext(ctx, "tcp", address)
		})
		startAndAwaitReady(t, e)
		if status, body, err := postChat(t, e, "a", "alert"); status != 200 || err != nil || body != streamEvents {
			t.Errorf("%s: %d %q %v", pausedStage, status, body, err)
		}
		e.Stop()
		for _, line := range logs.FilterMessage("attempt ended").All() {
			t.Errorf("%s: an attempt failed: %v", pausedStage, line.ContextMap())
		}
		if n, m := prefill.countRequests("POST"), decode.countRequests("POST"); n != 1 || m != 1 {
			t.Errorf("%s: %d prefills and %d decodes, want 1 each", pausedStage, n, m)
		}
	}
}

func TestDrainReportedDuringDecisionIsRespected(t *testing.T) {
	const decisionTime = 400 * time.Millisecond // The decision takes longer than the drain grace.
	old, replacement := newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone)), newScriptedEngine(t, "127.0.0.4", respondWith(prefillDone))
	decode := readyEntry("s-2", "m2", newScriptedEngine(t, "127.0.0.3", respondWith(completeStream)))
	source := make(listSource, 1)
	e := newPlatformEdgeFrom(t, 1024, nil, source)
	source <- endpoint.List{Revision: 1, Entries: []endpoint.Entry{readyEntry("s-1", "m1", old), decode}}
	startAndAwaitReady(t, e)
	defer e.Stop()
	if status, _, err := postChat(t, e, "a", "alert"); status != 200 || err != nil { // opens the connections to the engines
		t.Fatal(status, err)
	}
	drainingEntry := readyEntry("s-1", "m1", old)
	drainingEntry.State = endpoint.Draining
	second := endpoint.List{Revision: 2, Entries: []endpoint.Entry{drainingEntry, decode, readyEntry("s-3", "m1", replacement)}}
	listSent := make(chan struct{})
	e.OnDecision(func(event routing.Event) {
		if arrival, ok := event.(routing.RequestArrived); ok && arrival.Session == "k" {
			select {
			case <-listSent:
			default:
				close(listSent)
				source <- second
				time.Sleep(decisionTime)
			}
		}
	})
	if status, body, err := postChat(t, e, "b", "alert"); status != 200 || err != nil || body != streamEvents {
		t.Errorf("%d %q %v", status, body, err)
	}
	if n, m := old.countRequests("POST"), replacement.countRequests("POST"); n != 1 || m != 1 {
		t.Errorf("%d prefills at the draining engine and %d at the other, want 1 before the drain and 1 after it", n, m)
	}
}

func TestRequestQueuedPastObjectiveIsShedWithoutAttempt(t *testing.T) {
	const pause = 1200 * time.Millisecond // The objective is 1 s.
	prefill, decode := newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone)), newScriptedEngine(t, "127.0.0.3", respondWith(completeStream))
	e := startPlatformEdge(t, 1024, nil, prefill, decode)
	defer e.Stop()
	late, next := dialRaw(t, e), dialRaw(t, e)
	e.PauseOwner(pause)
	late.send(requestText("late", "chat"))
	if status, _ := late.readResponse(); status != http.StatusServiceUnavailable {
		t.Errorf("a request that waited longer than its objective got status %d", status)
	}
	if n := prefill.countRequests("POST"); n != 0 {
		t.Errorf("%d prefills for a request that was shed, want 0", n)
	}
	next.send(requestText("next", "chat"))
	if status, body := next.readResponse(); status != 200 || body != streamEvents {
		t.Errorf("the next request got status %d, body %q", status, body)
	}
}

func TestListsReceivedDuringUpdateKeepTheirOrder(t *testing.T) {
	decode := readyEntry("s-2", "m2", newScriptedEngine(t, "127.0.0.3", respondWith(completeStream)))
	var prefills []*scriptedEngine
	listOf := func(revision int) endpoint.List { // Each list has a different prefill engine.
		prefills = append(prefills, newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone)))
		id := fmt.Sprint("p-", revision)
		return endpoint.List{Revision: int64(revision), Entries: []endpoint.Entry{readyEntry(id, "m1", prefills[len(prefills)-1]), decode}}
	}
	source := make(listSource)
	e := newPlatformEdgeFrom(t, 1024, nil, source)
	if err := e.Start(); err != nil {
		t.Fatal(err)
	}
	defer e.Stop()
	source <- listOf(1)
	laterLists := []endpoint.List{listOf(2), listOf(3), listOf(4)}
	e.OnDecision(func(event routing.Event) {
		if _, ok := event.(routing.EndpointUpdate); ok && len(laterLists) == 1 {
			last := laterLists[0]
			laterLists = nil
			source <- last
			waitFor(t, "the last list waits for the owner", e.HasPendingEndpointList)
		}
	})
	release := e.BlockOwner()
	for range 2 {
		source <- laterLists[0]
		laterLists = laterLists[1:]
	}
	waitFor(t, "two lists wait for the owner", func() bool { return e.QueuedTasks() >= 2 })
	release()
	waitFor(t, "the last list has been applied", func() bool {
		_, err := e.Usage(context.Background())
		return err == nil && !e.HasPendingEndpointList()
	})
	if status, body, err := postChat(t, e, "a", "alert"); status != 200 || err != nil || body != streamEvents {
		t.Errorf("%d %q %v", status, body, err)
	}
	for i, prefill := range prefills {
		if n := prefill.countRequests("POST"); (n == 1) != (i == 3) {
			t.Errorf("%d prefills at the engine of list %d", n, i+1)
		}
	}
}
