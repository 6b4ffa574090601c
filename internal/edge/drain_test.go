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

// leaveAtOnce has an edge close its clients' connections as soon as it drains.
func leaveAtOnce(d *config.Deployment) {
	d.ShutdownAcceptTime, d.ShutdownStayTime, d.ShutdownHandoverTime = time.Millisecond, 0, 0
}

// isStopping is whether an edge reports that it drains, or accepts no connection any more. Its owner has handled its
// clients by then.
func isStopping(e *edge.Edge) bool {
	once := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 100 * time.Millisecond}
	r, err := once.Get("http://" + e.Addr() + "/_health")
	var late net.Error
	if errors.As(err, &late) && late.Timeout() {
		return false // its poller may be the one that is paused
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

// Drain begins while a request on an idle connection has been read and the owner has not been notified. The request was
// accepted, so it gets a response before the connection is closed. Closing it under the request lost it.
func TestDrainAfterRequestIsRead(t *testing.T) {
	for _, requests := range [][]string{{"b"}, {"b", "c", "d"}} {
		prefill := newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone))
		e := newPlatformEdge(t, 1024, leaveAtOnce, prefill, newScriptedEngine(t, "127.0.0.3", respondWith(completeStream)))
		pause := newPausePoint(e, edge.RequestParsed)
		startReady(t, e)
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
				t.Errorf("%s of %v was read, and got status %d, body %q", name, requests, status, body)
			}
		}
		if status, _ := client.readResponse(); status != 0 {
			t.Error("the connection stays open")
		}
		if err := <-drained; err != nil {
			t.Error(err)
		}
	}
}

// The other order: the owner has decided to close, then the request comes. It is never read, nothing is forwarded
// for it, and its client sees the end of the connection.
func TestRequestAfterCloseIsDecided(t *testing.T) {
	prefill := newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone))
	e := newPlatformEdge(t, 1024, leaveAtOnce, prefill, newScriptedEngine(t, "127.0.0.3", respondWith(completeStream)))
	pause := newPausePoint(e, edge.CloseDecided)
	startReady(t, e)
	client := idleClient(t, e)
	waitFor(t, "no connection but the client's is open", func() bool { // the first one closed pauses the owner
		h, err := e.Usage(context.Background())
		return err == nil && h.Clients == 1
	})
	pause.armed.Store(true)
	drained := startDrain(e)
	pause.wait(t)
	before := pause.readableCount.Load()
	client.send(requestText("b", "chat"))
	// The poller reports bytes again and again as long as they are not read.
	waitFor(t, "the poller has left the request unread", func() bool { return pause.readableCount.Load() >= before+2 })
	close(pause.resume)
	if _, err := client.reader.ReadByte(); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("a close over unread bytes resets the connection; here it ended with %v", err)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
	if prefill.countRequests("POST /v1/chat/completions b") != 0 {
		t.Error("a request that came after the close was forwarded")
	}
}

// A request of which only a part has come when drain begins is answered once it is complete.
func TestDrainDuringPartialRequest(t *testing.T) {
	e := startPlatformEdge(t, 1024, leaveAtOnce, newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone)),
		newScriptedEngine(t, "127.0.0.3", respondWith(completeStream)))
	client := idleClient(t, e)
	text := requestText("b", "alert")
	client.send(text[:len(text)-40])
	waitFor(t, "a part is read", func() bool {
		h, err := e.Usage(context.Background())
		return err == nil && h.Bytes > 0
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
	f.waitFor("it is open", func() bool { return f.edges.Holding(context.Background()).Requests == 1 })
	stopped := make(chan struct{})
	go func() { f.edges.Drain(0); close(stopped) }()
	f.waitFor("new ones are shed", func() bool {
		final := f.call(loadgen.Request{Route: "clip-summary", Timeout: 200 * time.Millisecond}).Outcome
		return final == "shed" || final == "lost"
	})
	if got := <-slow; got.OutcomeCount != 1 {
		t.Errorf("%+v", got)
	}
	<-stopped
}

// A draining edge still answers what comes while it lingers, and then ends by itself.
func TestPlatformDrain(t *testing.T) {
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

// A draining edge that hears from no peer goes on serving its clients; one that hears from a peer leaves at once.
func TestPlatformStaysWhileNoPeerServes(t *testing.T) {
	peer, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	for _, alone := range []bool{true, false} {
		var listen string
		e := startPlatformEdge(t, 1024, func(d *config.Deployment) {
			d.ShutdownAcceptTime, d.ShutdownStayTime, d.ShutdownHandoverTime = 50*time.Millisecond, 800*time.Millisecond, 2*time.Second
		}, newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone)), newScriptedEngine(t, "127.0.0.3", respondWith(completeStream)))
		if !alone {
			free, err := net.ListenPacket("udp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			listen = free.LocalAddr().String()
			free.Close()
			if err := e.ListenForPeers(listen, []string{listen, peer.LocalAddr().String()}, ""); err != nil {
				t.Fatal(err)
			}
			to, _ := net.ResolveUDPAddr("udp", listen)
			go func() { // datagrams may be lost, and are repeated as long as the edge is there
				for range 2000 {
					peer.WriteTo([]byte("kept"), to)
					time.Sleep(time.Millisecond)
				}
			}()
		}
		drained := make(chan error, 1)
		go func() { drained <- e.Drain(context.Background()) }()
		served, lasted := callRepeatedly(e, fmt.Sprint("h", alone))
		if stayed := lasted > 400*time.Millisecond; served == 0 || stayed != alone {
			t.Errorf("alone %v: %d served over %v", alone, served, lasted)
		}
		if err := <-drained; err != nil {
			t.Error(err)
		}
	}
}

// What a draining edge accepted while it stayed is handed over before it is killed.
func TestPlatformHandsOverToPeer(t *testing.T) {
	decode := newScriptedEngine(t, "127.0.0.3", respondWith(streamHead+streamEvent("{}"))) // a stream that goes on
	e := startPlatformEdge(t, 1024, func(d *config.Deployment) {
		d.ShutdownAcceptTime, d.ShutdownStayTime, d.ShutdownHandoverTime = time.Millisecond, 400*time.Millisecond, 600*time.Millisecond
	}, newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone)), decode)
	drained := make(chan error, 1)
	go func() { drained <- e.Drain(context.Background()) }()
	for { // until it reports that it drains
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
