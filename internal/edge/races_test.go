package edge_test

import (
	"context"
	"net"
	"net/http"
	"testing"

	"sandcourse/internal/edge"
	"sandcourse/internal/endpoint"
)

// A client that has disconnected is seen by its poller at once and by the owner in its turn. What the owner does before is
// late: nothing may be forwarded, neither at first nor between prefill and decode.
func TestClientGoneBeforeOwnerIsNotified(t *testing.T) {
	for _, at := range []string{"before prefill", "between prefill and decode"} {
		gate := make(chan struct{})
		prefill := newScriptedEngine(t, "127.0.0.2", func(int, *http.Request) (string, bool) {
			<-gate
			return prefillDone, false
		})
		decode := newScriptedEngine(t, "127.0.0.3", respondWith(completeStream))
		e := startPlatformEdge(t, 1024, nil, prefill, decode)
		client := dialRaw(t, e)
		prefills := 0
		var release func()
		if at == "before prefill" {
			close(gate)
			release = e.BlockOwner()
			client.send(requestText("a", "chat"))
		} else {
			prefills = 1
			client.send(requestText("a", "chat"))
			waitFor(t, "prefill has begun", func() bool { return prefill.countRequests("POST") == 1 })
			release = e.BlockOwner()
			before := e.QueuedTasks()
			close(gate)
			waitFor(t, "the response waits for the owner", func() bool { return e.QueuedTasks() >= before+2 })
		}
		client.conn.(*net.TCPConn).CloseWrite()
		if _, err := client.reader.ReadByte(); err == nil {
			t.Errorf("%s: the edge answers a client that has disconnected", at)
		}
		release()
		waitFor(t, "the edge holds nothing", func() bool {
			h, err := e.Usage(context.Background())
			return err == nil && h.Requests == 0 && h.ControlRequests == 0
		})
		e.Stop()
		if prefill.countRequests("POST") != prefills || decode.countRequests("POST") != 0 {
			t.Errorf("%s: %d prefills and %d decodes, %d prefills wanted", at, prefill.countRequests("POST"), decode.countRequests("POST"), prefills)
		}
	}
}

// A client closes, and its poller has not come to it, as in a process that was not run for a while: what the owner does
// first is late all the same, and nothing may be forwarded.
func TestClientGoneBeforePollerRuns(t *testing.T) {
	gate := make(chan struct{})
	prefill := newScriptedEngine(t, "127.0.0.2", func(int, *http.Request) (string, bool) {
		<-gate
		return prefillDone, false
	})
	decode := newScriptedEngine(t, "127.0.0.3", respondWith(completeStream))
	e := newPlatformEdge(t, 1024, nil, prefill, decode)
	pause := newPausePoint(e, edge.ClientReadable)
	startReady(t, e)
	defer e.Stop()
	defer close(pause.resume) // before that: Stop waits for the pollers
	client := dialRaw(t, e)
	client.send(requestText("a", "chat"))
	waitFor(t, "prefill has begun", func() bool { return prefill.countRequests("POST") == 1 })
	pause.armed.Store(true)
	client.conn.Close()
	pause.wait(t)
	close(gate)
	waitFor(t, "the reservation is released", func() bool { return prefill.countRequests("DELETE /v1/holds/a") > 0 })
	if decode.countRequests("POST") != 0 {
		t.Errorf("%d attempts after the client has disconnected", decode.countRequests("POST"))
	}
}

// A prefill engine's response has been read, the owner has not been notified, and the client disconnects. There is no
// decode, and the reservation that the response names is released all the same.
func TestResponseAfterClientIsGone(t *testing.T) {
	prefill, decode := newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone)), newScriptedEngine(t, "127.0.0.3", respondWith(completeStream))
	e := newPlatformEdge(t, 1024, nil, prefill, decode)
	pause := newPausePoint(e, edge.ResponseRead)
	startReady(t, e)
	defer e.Stop()
	client := dialRaw(t, e)
	pause.armed.Store(true)
	client.send(requestText("a", "alert"))
	pause.wait(t)
	client.conn.Close()
	waitFor(t, "the owner knows that the client has disconnected", func() bool {
		h, err := e.Usage(context.Background())
		return err == nil && h.Clients == 0
	})
	close(pause.resume)
	waitFor(t, "the reservation is released", func() bool { return prefill.countRequests("DELETE /v1/holds/a") > 0 })
	waitFor(t, "the edge holds nothing", func() bool {
		h, err := e.Usage(context.Background())
		return err == nil && h.Requests == 0 && h.ControlRequests == 0
	})
	if prefill.countRequests("POST") != 1 || decode.countRequests("POST") != 0 {
		t.Errorf("%d prefills, %d decodes", prefill.countRequests("POST"), decode.countRequests("POST"))
	}
}

// A list has the only prefill engine drain and names another, while a request waits for the owner. If the owner is
// notified before it takes the request, the list goes first, though it came later. A list that is read, but not
// notified yet, delays nobody: the attempt goes to the draining engine, which it may within the grace.
func TestDrainInListRacesAttempt(t *testing.T) {
	for _, notified := range []bool{true, false} {
		old, fresh := newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone)), newScriptedEngine(t, "127.0.0.4", respondWith(prefillDone))
		decode := engineAt("s-2", "m2", newScriptedEngine(t, "127.0.0.3", respondWith(completeStream)))
		source := make(listSource, 1)
		e := newPlatformEdgeFrom(t, 1024, nil, source)
		pause := newPausePoint(e, edge.EndpointListRead)
		source <- endpoint.List{Revision: 1, Entries: []endpoint.Entry{engineAt("s-1", "m1", old), decode}}
		startReady(t, e)
		client := dialRaw(t, e)
		drains := engineAt("s-1", "m1", old)
		drains.State = endpoint.Draining
		second := endpoint.List{Revision: 2, Entries: []endpoint.Entry{drains, decode, engineAt("s-3", "m1", fresh)}}
		if notified {
			release := e.BlockOwner()
			before := e.QueuedTasks()
			client.send(requestText("a", "alert"))
			waitFor(t, "the request waits for the owner", func() bool { return e.QueuedTasks() > before })
			source <- second
			waitFor(t, "the list waits for the owner", e.UrgentPending)
			release()
		} else {
			pause.armed.Store(true)
			source <- second
			pause.wait(t)
			client.send(requestText("a", "alert"))
			waitFor(t, "the attempt has begun", func() bool { return old.countRequests("POST") == 1 })
			close(pause.resume)
		}
		if status, body := client.readResponse(); status != 200 || body != streamEvents {
			t.Errorf("notified %v: status %d, body %q", notified, status, body)
		}
		e.Stop()
		if wentToOld := old.countRequests("POST") == 1; wentToOld == notified || old.countRequests("POST")+fresh.countRequests("POST") != 1 {
			t.Errorf("notified %v: %d attempts at the draining engine, %d at the other", notified, old.countRequests("POST"), fresh.countRequests("POST"))
		}
	}
}
