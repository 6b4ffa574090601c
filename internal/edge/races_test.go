package edge_test

import (
	"context"
	"net"
	"net/http"
	"testing"

	"sandcourse/internal/edge"
	"sandcourse/internal/endpoint"
)

// The poller has detected that a client disconnected, but the owner has not been notified yet. The owner must forward the
// request neither to prefill nor, after prefill, to decode.
func TestClientDisconnectBeforeOwnerIsNotified(t *testing.T) {
	for _, stage := range []string{"before prefill", "between prefill and decode"} {
		gate := make(chan struct{})
		prefill := newScriptedEngine(t, "127.0.0.2", func(int, *http.Request) (string, bool) {
			<-gate
			return prefillDone, false
		})
		decode := newScriptedEngine(t, "127.0.0.3", respondWith(completeStream))
		e := startPlatformEdge(t, 1024, nil, prefill, decode)
		client := dialRaw(t, e)
		wantPrefills := 0
		var release func()
		if stage == "before prefill" {
			close(gate)
			release = e.BlockOwner()
			client.send(requestText("a", "chat"))
		} else {
			wantPrefills = 1
			client.send(requestText("a", "chat"))
			waitFor(t, "prefill has begun", func() bool { return prefill.countRequests("POST") == 1 })
			release = e.BlockOwner()
			before := e.QueuedTasks()
			close(gate)
			waitFor(t, "the response waits for the owner", func() bool { return e.QueuedTasks() >= before+2 })
		}
		client.conn.(*net.TCPConn).CloseWrite()
		if _, err := client.reader.ReadByte(); err == nil {
			t.Errorf("%s: the edge sent a response to a client that had disconnected", stage)
		}
		release()
		waitFor(t, "the edge has no open requests", func() bool {
			usage, err := e.Usage(context.Background())
			return err == nil && usage.Requests == 0 && usage.ControlRequests == 0
		})
		e.Stop()
		if prefill.countRequests("POST") != wantPrefills || decode.countRequests("POST") != 0 {
			t.Errorf("%s: %d prefills and %d decodes, %d prefills wanted", stage, prefill.countRequests("POST"), decode.countRequests("POST"), wantPrefills)
		}
	}
}

// A client disconnects while its poller is not running, as in a paused process. The owner must query the kernel and not
// forward the request.
func TestClientDisconnectBeforePollerRuns(t *testing.T) {
	gate := make(chan struct{})
	prefill := newScriptedEngine(t, "127.0.0.2", func(int, *http.Request) (string, bool) {
		<-gate
		return prefillDone, false
	})
	decode := newScriptedEngine(t, "127.0.0.3", respondWith(completeStream))
	e := newPlatformEdge(t, 1024, nil, prefill, decode)
	pause := newPausePoint(e, edge.ClientReadable)
	startAndAwaitReady(t, e)
	defer e.Stop()
	defer close(pause.resume) // The call runs before Stop, which waits for the pollers.
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

// The client disconnects when the prefill engine's response has been read but the owner has not been notified of it. No
// decode may follow, and the reservation named by the response must still be released.
func TestResponseAfterClientDisconnect(t *testing.T) {
	prefill, decode := newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone)), newScriptedEngine(t, "127.0.0.3", respondWith(completeStream))
	e := newPlatformEdge(t, 1024, nil, prefill, decode)
	pause := newPausePoint(e, edge.ResponseRead)
	startAndAwaitReady(t, e)
	defer e.Stop()
	client := dialRaw(t, e)
	pause.armed.Store(true)
	client.send(requestText("a", "alert"))
	pause.wait(t)
	client.conn.Close()
	waitFor(t, "the owner is notified of the disconnect", func() bool {
		usage, err := e.Usage(context.Background())
		return err == nil && usage.Clients == 0
	})
	close(pause.resume)
	waitFor(t, "the reservation is released", func() bool { return prefill.countRequests("DELETE /v1/holds/a") > 0 })
	waitFor(t, "the edge has no open requests", func() bool {
		usage, err := e.Usage(context.Background())
		return err == nil && usage.Requests == 0 && usage.ControlRequests == 0
	})
	if prefill.countRequests("POST") != 1 || decode.countRequests("POST") != 0 {
		t.Errorf("%d prefills, %d decodes", prefill.countRequests("POST"), decode.countRequests("POST"))
	}
}

// An endpoint list marks the only prefill engine as draining and adds another, while a request waits for the owner. A list
// in the inbox is applied before the request, even if it arrived later. A list that has been read but is not in the inbox
// yet delays no request: the attempt is sent to the draining engine, which the drain grace allows.
func TestDrainInListRacesAttempt(t *testing.T) {
	for _, notified := range []bool{true, false} {
		old, replacement := newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone)), newScriptedEngine(t, "127.0.0.4", respondWith(prefillDone))
		decode := readyEntry("s-2", "m2", newScriptedEngine(t, "127.0.0.3", respondWith(completeStream)))
		source := make(listSource, 1)
		e := newPlatformEdgeFrom(t, 1024, nil, source)
		pause := newPausePoint(e, edge.EndpointListRead)
		source <- endpoint.List{Revision: 1, Entries: []endpoint.Entry{readyEntry("s-1", "m1", old), decode}}
		startAndAwaitReady(t, e)
		client := dialRaw(t, e)
		drainingEntry := readyEntry("s-1", "m1", old)
		drainingEntry.State = endpoint.Draining
		second := endpoint.List{Revision: 2, Entries: []endpoint.Entry{drainingEntry, decode, readyEntry("s-3", "m1", replacement)}}
		if notified {
			release := e.BlockOwner()
			before := e.QueuedTasks()
			client.send(requestText("a", "alert"))
			waitFor(t, "the request waits for the owner", func() bool { return e.QueuedTasks() > before })
			source <- second
			waitFor(t, "the list waits for the owner", e.HasPendingEndpointList)
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
		if sentToOld := old.countRequests("POST") == 1; sentToOld == notified || old.countRequests("POST")+replacement.countRequests("POST") != 1 {
			t.Errorf("notified %v: %d attempts at the draining engine, %d at the other", notified, old.countRequests("POST"), replacement.countRequests("POST"))
		}
	}
}
