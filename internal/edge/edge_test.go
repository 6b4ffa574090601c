package edge_test

import (
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"sandcourse/internal/audit"
	"sandcourse/internal/config"
	"sandcourse/internal/fake/engine"
	"sandcourse/internal/loadgen"
	"sandcourse/internal/routing"
)

func TestOneRequestCompletes(t *testing.T) {
	f := newFixture(t, nil)
	for _, unary := range []bool{false, true} {
		got := f.call(loadgen.Request{Route: "fan-alert", RequestID: "one", Unary: unary})
		if got.Outcome != "completed" || got.Tokens == 0 || got.RequestID == "" {
			t.Errorf("unary %v: got %+v, want a completed request with tokens and its ID", unary, got)
		}
	}
}

func TestClientDisconnectReleasesEverything(t *testing.T) {
	for _, c := range []struct {
		when  string
		fault func(prefill, decode *engine.Engine)
		after time.Duration
	}{
		{"before prefill", func(prefill, _ *engine.Engine) { prefill.SetFaults(engine.Faults{Unresponsive: true}) }, 60 * time.Millisecond},
		{"during prefill", func(prefill, _ *engine.Engine) { prefill.SetFaults(engine.Faults{Slowdown: 500}) }, 60 * time.Millisecond},
		{"between prefill and decode", func(_, decode *engine.Engine) { decode.Drain(true) }, 60 * time.Millisecond},
		{"before the first token", func(_, decode *engine.Engine) { decode.SetFaults(engine.Faults{StallFirst: true}) },
			120 * time.Millisecond},
		{"within the stream", func(_, decode *engine.Engine) { decode.SetFaults(engine.Faults{StallAfter: 2}) }, 120 * time.Millisecond},
	} {
		t.Run(c.when, func(t *testing.T) {
			f, prefill, decode := singlePairFixture(t, nil)
			c.fault(prefill, decode)
			if got := f.call(loadgen.Request{Route: "fan-alert", RequestID: "leaver", DisconnectAfter: c.after}); got.Outcome != "left" {
				t.Errorf("got %+v, want outcome left", got)
			}
			f.waitFor("no request is open", func() bool { return f.edges.InFlight(context.Background()).Requests == 0 })
			prefill.SetFaults(engine.Faults{})
			decode.SetFaults(engine.Faults{})
			decode.Drain(false)
			f.checkInvariants()
		})
	}
}

func TestBrokenStreamEndsInOneError(t *testing.T) {
	for fault, faults := range map[string]engine.Faults{"stalls": {StallAfter: 1}, "breaks": {BreakAfter: 3}} {
		t.Run(fault, func(t *testing.T) {
			f, _, decode := singlePairFixture(t, func(d *config.Deployment) { d.StallTimeout = 200 * time.Millisecond })
			decode.SetFaults(faults)
			got := f.call(loadgen.Request{Route: "fan-alert", RequestID: "cut"})
			if got.Outcome != "errored" || got.OutcomeCount != 1 || got.Tokens == 0 {
				t.Errorf("got %+v, want some tokens and one error", got)
			}
			got = f.call(loadgen.Request{Route: "fan-alert", RequestID: "cut-unary", Unary: true})
			if got.Outcome != "errored" || got.OutcomeCount != 1 {
				t.Errorf("unary: got %+v, want one error", got)
			}
			decode.SetFaults(engine.Faults{})
			f.checkInvariants()
		})
	}
}

func TestFailedDecodeEngineNeverRunsAlertTwice(t *testing.T) {
	for fault, faults := range map[string]engine.Faults{"stalls before its first token": {StallFirst: true},
		"fails without a body": {FailStatus: 503}} {
		t.Run(fault, func(t *testing.T) {
			f := newFixture(t, nil)
			for _, e := range f.fleet.Engines[2:] {
				e.SetFaults(faults)
			}
			got := f.call(loadgen.Request{Route: "fan-alert", RequestID: "once", Timeout: 900 * time.Millisecond})
			if got.Outcome != "errored" || got.OutcomeCount != 1 {
				t.Errorf("got %+v, want one error", got)
			}
			attempts := 0
			for _, record := range f.log.EngineRecords() {
				if record.ClientRequestID == "once" && record.Event == audit.AttemptStarted && record.Decode {
					attempts++
				}
			}
			if attempts != 1 {
				t.Errorf("%d attempts at decode engines, want 1", attempts)
			}
			for _, e := range f.fleet.Engines {
				e.SetFaults(engine.Faults{})
			}
			f.checkInvariants()
		})
	}
}

func TestLatePrefillIsReleased(t *testing.T) {
	f, prefill, _ := singlePairFixture(t, nil)
	prefill.SetFaults(engine.Faults{Slowdown: 400})
	if got := f.call(loadgen.Request{Route: "fan-alert", RequestID: "late", Timeout: 150 * time.Millisecond}); got.OutcomeCount != 1 {
		t.Errorf("got %+v, want one outcome", got)
	}
	prefill.SetFaults(engine.Faults{})
	f.checkInvariants()
}

func TestEngineDrainClosesOpenAndDialledConnections(t *testing.T) {
	f := newFixture(t, nil)
	stop := make(chan struct{})
	var done = make(chan struct{})
	go func() {
		defer close(done)
		loadgen.Traffic{Edges: f.edges.Addrs, Rate: 150, Duration: 1500 * time.Millisecond, Seed: 5, Prefixes: 3, PrefixWords: 30,
			Turns: 2, Log: f.log, Routes: []loadgen.Route{{Name: "clip-summary", Share: 1, PriorityWeight: 1, Retriable: true,
				FirstTokenTarget: time.Second, Timeout: 3 * time.Second, MaxTokens: 10}}}.Run(context.Background())
	}()
	go func() {
		defer close(stop)
		for i := range 4 {
			time.Sleep(300 * time.Millisecond)
			f.fleet.Drain(f.fleet.Engines[i%4], true)
			if i > 0 {
				f.fleet.Drain(f.fleet.Engines[(i-1)%4], false)
			}
		}
	}()
	<-stop
	<-done
	f.checkInvariants()
}

func TestUnresponsiveFleetAndEmptyEndpointListGetOneErrorEach(t *testing.T) {
	f := newFixture(t, nil)
	for _, e := range f.fleet.Engines {
		e.SetFaults(engine.Faults{Unresponsive: true})
	}
	for _, route := range []string{"clip-summary", "fan-alert"} {
		got := f.call(loadgen.Request{Route: route, RequestID: "unresponsive " + route, Timeout: 400 * time.Millisecond})
		if got.OutcomeCount != 1 || got.Outcome == "completed" {
			t.Errorf("all engines unresponsive: got %+v, want one outcome that is not completed", got)
		}
	}
	for _, e := range f.fleet.Engines {
		e.SetFaults(engine.Faults{})
	}
	for _, e := range f.fleet.Engines {
		f.fleet.Remove(e)
	}
	f.waitFor("requests are shed with an empty endpoint list", func() bool {
		got := f.call(loadgen.Request{Route: "fan-alert", Timeout: 200 * time.Millisecond})
		return got.Outcome == "shed" && got.OutcomeCount == 1
	})
	f.checkInvariants()
}

func TestTruncatedEndpointFileKeepsLastList(t *testing.T) {
	f := newFixture(t, nil)
	text, err := os.ReadFile(f.fleet.EndpointFile)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(f.fleet.EndpointFile, text[:len(text)/2], 0o644); err != nil {
		t.Fatal(err)
	}
	// The edge must still serve after it has read the file twice more.
	for range 4 {
		if got := f.call(loadgen.Request{Route: "clip-summary"}); got.Outcome != "completed" {
			t.Errorf("got %+v, want outcome completed", got)
		}
		time.Sleep(40 * time.Millisecond)
	}
	f.checkInvariants()
}

func TestRestartedEdgeUsesLastList(t *testing.T) {
	f := newFixture(t, nil)
	if err := f.edges.Kill(0, 10*time.Millisecond); err != nil {
		t.Fatal(err)
	}
	f.waitFor("the restarted edge serves", func() bool { return f.call(loadgen.Request{Route: "fan-alert"}).Outcome == "completed" })
	f.checkInvariants()
}

func TestEdgeServesAfterPolicyPanic(t *testing.T) {
	f, _, decode := singlePairFixture(t, nil)
	decode.SetFaults(engine.Faults{StallFirst: true})
	results := make(chan audit.ClientRecord)
	for i := range 6 {
		go func() {
			results <- f.call(loadgen.Request{Route: "fan-alert", RequestID: fmt.Sprint("p", i), Unary: i%2 == 0})
		}()
	}
	f.waitFor("all requests are open", func() bool { return f.edges.InFlight(context.Background()).Requests == 6 })
	armed := true
	f.edges.Edge(0).PanicOn(func(event routing.Event) bool {
		_, isUpdate := event.(routing.EndpointUpdate)
		shouldPanic := armed && !isUpdate
		armed = armed && !shouldPanic
		return shouldPanic
	})
	f.call(loadgen.Request{Route: "fan-alert", RequestID: "seventh", Timeout: 100 * time.Millisecond})
	for range 6 {
		if got := <-results; got.Outcome != "errored" || got.OutcomeCount != 1 {
			t.Errorf("got %+v, want one error", got)
		}
	}
	decode.SetFaults(engine.Faults{})
	f.waitFor("the edge serves with a new policy instance", func() bool { return f.call(loadgen.Request{Route: "clip-summary"}).Outcome == "completed" })
	f.checkInvariants()
}

func TestPausedOwnerKeepsInvariants(t *testing.T) {
	f, _, decode := singlePairFixture(t, func(d *config.Deployment) { d.TickInterval = 30 * time.Millisecond })
	decode.SetFaults(engine.Faults{StallFirst: true})
	done := make(chan audit.ClientRecord)
	for i := range 4 {
		go func() {
			done <- f.call(loadgen.Request{Route: "fan-alert", RequestID: fmt.Sprint("t", i), Timeout: 400 * time.Millisecond})
		}()
	}
	for range 5 {
		f.edges.Edge(0).PauseOwner(60 * time.Millisecond)
		time.Sleep(20 * time.Millisecond)
	}
	for range 4 {
		if got := <-done; got.OutcomeCount != 1 {
			t.Errorf("got %+v, want one outcome", got)
		}
	}
	decode.SetFaults(engine.Faults{})
	f.checkInvariants()
}

func TestSlowClientDoesNotDelayOthers(t *testing.T) {
	f := newFixture(t, func(d *config.Deployment) { d.ClientBufferBytes = 4096 },
		engine.Config{Name: "r", Role: "read"}, engine.Config{Name: "w", Role: "write", TokenTime: 20 * time.Microsecond})
	c, err := net.Dial("tcp", f.edges.Addrs()[0])
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.(*net.TCPConn).SetReadBuffer(1024)
	body := `{"model":"clip-summary","stream":true,"max_tokens":100000,"messages":[{"role":"user","content":"endless"}]}`
	for range 40 { // These responses are enough to fill the kernel's buffers.
		fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		time.Sleep(2 * time.Millisecond)
	}
	for range 5 {
		if got := f.call(loadgen.Request{Route: "fan-alert"}); got.Outcome != "completed" || got.FirstToken > 500*time.Millisecond {
			t.Errorf("got %+v, want completed with the first token within 500 ms", got)
		}
	}
	c.Close()
	f.checkInvariants()
}

func TestNewClientIsServedDespiteManyIdleConnections(t *testing.T) {
	f := newFixture(t, func(d *config.Deployment) { d.Limits.Connections = 1500 })
	var connections []net.Conn
	defer func() {
		for _, c := range connections {
			c.Close()
		}
	}()
	for range 2000 {
		c, err := net.Dial("tcp", f.edges.Addrs()[0])
		if err != nil {
			t.Fatal(err)
		}
		connections = append(connections, c)
	}
	f.waitFor("the limit holds and new clients are served", func() bool {
		return f.edges.InFlight(context.Background()).Clients <= 1500 &&
			f.call(loadgen.Request{Route: "clip-summary"}).Outcome == "completed"
	})
	f.checkInvariants()
}

func TestHealthyHalfServesWhileOtherHalfIsUnresponsive(t *testing.T) {
	f := newFixture(t, nil)
	f.fleet.Engines[0].SetFaults(engine.Faults{Unresponsive: true})
	f.fleet.Engines[2].SetFaults(engine.Faults{Unresponsive: true})
	// Many requests run concurrently, because the policy compares engines by how long their attempts wait.
	loadgen.Traffic{Edges: f.edges.Addrs, Rate: 60, Duration: 2 * time.Second, Seed: 3, Prefixes: 4, PrefixWords: 40, Turns: 2, Log: f.log,
		Routes: []loadgen.Route{{Name: "clip-summary", Share: 1, PriorityWeight: 1, FirstTokenTarget: time.Second, Timeout: 1500 * time.Millisecond, MaxTokens: 5},
			{Name: "fan-alert", Share: 1, PriorityWeight: 5, FirstTokenTarget: time.Second, Timeout: 1500 * time.Millisecond, MaxTokens: 5}}}.Run(context.Background())
	outcomes := map[audit.Outcome]int{}
	for _, c := range f.log.ClientRecords() {
		outcomes[c.Outcome]++
	}
	// Several dozen requests complete on an idle machine, and 19 did while all tests ran at once. None would complete if
	// requests were sent to the unresponsive engines only.
	if outcomes["completed"] < 8 || outcomes["lost"] > 0 {
		t.Errorf("the healthy engines served too few requests: %v", outcomes)
	}
	for _, e := range f.fleet.Engines {
		e.SetFaults(engine.Faults{})
	}
	f.checkInvariants()
}

// A client closes its connection right after the last byte of the response. Its request is complete by then, and must not
// end a second time when the owner handles the close later.
func TestClientCloseAfterLastByteIsHandledOnce(t *testing.T) {
	f, _, _ := singlePairFixture(t, nil)
	body := `{"model":"fan-alert","stream":true,"max_tokens":3,"messages":[{"role":"user","content":"a"}]}`
	for range 20 {
		c, err := net.Dial("tcp", f.edges.Addrs()[0])
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		var got []byte
		buf := make([]byte, 1024)
		for !strings.Contains(string(got), "data: [DONE]\n\n\r\n0\r\n\r\n") {
			n, err := c.Read(buf)
			if got = append(got, buf[:n]...); err != nil {
				t.Fatalf("%q: %v", got, err)
			}
		}
		f.edges.Edge(0).PauseOwner(5 * time.Millisecond) // The owner handles the close late.
		c.Close()
	}
	f.waitFor("all client connections are closed", func() bool { return f.edges.InFlight(context.Background()).Clients == 0 })
	f.checkInvariants()
}
