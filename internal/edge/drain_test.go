package edge_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"sandcourse/internal/audit"
	"sandcourse/internal/config"
	"sandcourse/internal/edge"
	"sandcourse/internal/fake/engine"
	"sandcourse/internal/loadgen"
)

// closeClientsAtOnce makes an edge close its client connections as soon as it drains.
func closeClientsAtOnce(d *config.Deployment) {
	d.ShutdownAcceptTime, d.ShutdownStayTime, d.ShutdownHandoverTime = time.Millisecond, 0, 0
}

// isStopping reports whether an edge's health check fails, or the edge accepts no connections. Its owner has then already
// closed the idle client connections.
func isStopping(e *edge.Edge) bool {
	once := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 100 * time.Millisecond}
	r, err := once.Get("http://" + e.Addr() + "/_health")
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return false // The request may be on the paused poller.
	}
	if err != nil {
		return true
	}
	r.Body.Close()
	return r.StatusCode != http.StatusOK
}

func startDrain(e *edge.Edge) (finished chan error) {
	finished = make(chan error, 1)
	go func() { finished <- e.Drain(context.Background()) }()
	return finished
}

// Drain begins when a request on an idle connection has been read but the owner has not been notified of it. The request
// has been accepted, so it must get a response before the connection is closed. The edge once closed the connection at once.
func TestRequestReadBeforeDrainIsAnswered(t *testing.T) {
	for _, requests := range [][]string{{"b"}, {"b", "c", "d"}} {
		prefill := newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone))
		e := newPlatformEdge(t, 1024, closeClientsAtOnce, prefill, newScriptedEngine(t, "127.0.0.3", respondWith(completeStream)))
		pause := newPausePoint(e, edge.RequestParsed)
		startAndAwaitReady(t, e)
		client := idleClient(t, e)
		pause.armed.Store(true)
		text := ""
		for _, name := range requests {
			text += requestText(name, "alert")
		}
		client.send(text)
		pause.wait(t)
		drained := startDrain(e)
		waitFor(t, "the edge drains", func() bool { return isStopping(e) })
		close(pause.resume)
		for _, name := range requests {
			if status, body := client.readResponse(); status != 200 && status != 503 {
				t.Errorf("request %s of %v was read but got status %d, body %q", name, requests, status, body)
			}
		}
		if status, _ := client.readResponse(); status != 0 {
			t.Error("unexpected response after the last request")
		}
		if err := <-drained; err != nil {
			t.Error(err)
		}
	}
}

// A request arrives after the owner has decided to close the connection. The request must never be read or forwarded, and
// its client must observe the close of the connection.
func TestRequestAfterCloseDecisionIsNotForwarded(t *testing.T) {
	prefill := newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone))
	e := newPlatformEdge(t, 1024, closeClientsAtOnce, prefill, newScriptedEngine(t, "127.0.0.3", respondWith(completeStream)))
	pause := newPausePoint(e, edge.CloseDecided)
	startAndAwaitReady(t, e)
	client := idleClient(t, e)
	waitFor(t, "only the client's connection is open", func() bool { // The owner pauses at the first connection that it closes.
		usage, err := e.Usage(context.Background())
		return err == nil && usage.Clients == 1
	})
	pause.armed.Store(true)
	drained := startDrain(e)
	pause.wait(t)
	before := pause.readableCount.Load()
	client.send(requestText("b", "chat"))
	// The poller reports the connection as readable repeatedly while bytes are unread.
	waitFor(t, "the poller has left the request unread", func() bool { return pause.readableCount.Load() >= before+2 })
	close(pause.resume)
	if _, err := client.reader.ReadByte(); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("a close with unread bytes ended the connection with %v, want a reset", err)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
	if prefill.countRequests("POST /v1/chat/completions b") != 0 {
		t.Error("a request that arrived after the close decision was forwarded")
	}
}

// A request that has been received only in part when the drain begins is answered once it is complete.
func TestPartialRequestIsAnsweredDuringDrain(t *testing.T) {
	e := startPlatformEdge(t, 1024, closeClientsAtOnce, newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone)),
		newScriptedEngine(t, "127.0.0.3", respondWith(completeStream)))
	client := idleClient(t, e)
	text := requestText("b", "alert")
	client.send(text[:len(text)-40])
	waitFor(t, "a part of the request is read", func() bool {
		usage, err := e.Usage(context.Background())
		return err == nil && usage.Bytes > 0
	})
	drained := startDrain(e)
	waitFor(t, "the edge drains", func() bool { return isStopping(e) })
	client.send(text[len(text)-40:])
	if status, body := client.readResponse(); status != 200 && status != 503 {
		t.Errorf("status %d, body %q", status, body)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

func TestDrainRejectsNewAndFinishesOpenRequests(t *testing.T) {
	f, _, decode := singlePairFixture(t, func(d *config.Deployment) { d.ShutdownTimeout = 400 * time.Millisecond })
	decode.SetFaults(engine.Faults{Slowdown: 3})
	slow := make(chan audit.ClientRecord)
	go func() { slow <- f.call(loadgen.Request{Route: "clip-summary", RequestID: "slow"}) }()
	f.waitFor("the slow request is open", func() bool { return f.edges.InFlight(context.Background()).Requests == 1 })
	stopped := make(chan struct{})
	go func() { f.edges.Drain(0); close(stopped) }()
	f.waitFor("new requests are shed", func() bool {
		outcome := f.call(loadgen.Request{Route: "clip-summary", Timeout: 200 * time.Millisecond}).Outcome
		return outcome == "shed" || outcome == "lost"
	})
	if got := <-slow; got.OutcomeCount != 1 {
		t.Errorf("%+v", got)
	}
	<-stopped
}

// A draining edge answers requests that arrive while it lingers, and then stops without any further call.
func TestPlatformServesDuringLinger(t *testing.T) {
	e := startPlatformEdge(t, 1024, func(d *config.Deployment) { d.ShutdownAcceptTime = 300 * time.Millisecond },
		newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone)), newScriptedEngine(t, "127.0.0.3", respondWith(completeStream)))
	drained := make(chan error, 1)
	go func() { drained <- e.Drain(context.Background()) }()
	if status, body, err := postChat(t, e, "f1", "alert"); status != 200 || err != nil || body != streamEvents {
		t.Errorf("%d %q %v", status, body, err)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

// A draining edge continues to serve its clients while it receives no gossip; after a peer's message it closes them at once.
func TestPlatformServesLongerWithoutPeers(t *testing.T) {
	peer, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	for _, withoutPeer := range []bool{true, false} {
		var listen string
		e := startPlatformEdge(t, 1024, func(d *config.Deployment) {
			d.ShutdownAcceptTime, d.ShutdownStayTime, d.ShutdownHandoverTime = 50*time.Millisecond, 800*time.Millisecond, 2*time.Second
		}, newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone)), newScriptedEngine(t, "127.0.0.3", respondWith(completeStream)))
		if !withoutPeer {
			reserved, err := net.ListenPacket("udp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			listen = reserved.LocalAddr().String()
			reserved.Close()
			if err := e.ListenForPeers(listen, []string{listen, peer.LocalAddr().String()}, ""); err != nil {
				t.Fatal(err)
			}
			to, _ := net.ResolveUDPAddr("udp", listen)
			go func() { // Datagrams may be lost, so they are repeated.
				for range 2000 {
					peer.WriteTo([]byte("kept"), to)
					time.Sleep(time.Millisecond)
				}
			}()
		}
		drained := make(chan error, 1)
		go func() { drained <- e.Drain(context.Background()) }()
		served, servedFor := callRepeatedly(e, fmt.Sprint("h", withoutPeer))
		if stayed := servedFor > 400*time.Millisecond; served == 0 || stayed != withoutPeer {
			t.Errorf("without peer %v: %d requests served over %v", withoutPeer, served, servedFor)
		}
		if err := <-drained; err != nil {
			t.Error(err)
		}
	}
}

// A draining edge ends late requests at the handover time, so that clients can retry elsewhere before the edge is killed.
func TestPlatformInterruptsStreamsAfterHandoverTime(t *testing.T) {
	decode := newScriptedEngine(t, "127.0.0.3", respondWith(streamHead+streamEvent("{}"))) // The stream never ends.
	e := startPlatformEdge(t, 1024, func(d *config.Deployment) {
		d.ShutdownAcceptTime, d.ShutdownStayTime, d.ShutdownHandoverTime = time.Millisecond, 400*time.Millisecond, 600*time.Millisecond
	}, newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone)), decode)
	drained := make(chan error, 1)
	go func() { drained <- e.Drain(context.Background()) }()
	for { // The loop ends when the edge reports that it drains.
		r, err := http.Get("http://" + e.Addr() + "/_health")
		if err != nil {
			t.Fatal(err)
		}
		r.Body.Close()
		if r.StatusCode == http.StatusServiceUnavailable {
			break
		}
	}
	if status, body, err := postChat(t, e, "i1", "chat"); status != 200 || err == nil || !strings.Contains(body, "{}") {
		t.Errorf("%d %q %v", status, body, err)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}
