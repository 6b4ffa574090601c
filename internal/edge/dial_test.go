package edge_test

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// A dial that fails because this machine lacks resources for a moment is not a fault of the engine: the dial is retried
// shortly after, and no engine counts as failed.
func TestLocalDialFailureIsRetried(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENETUNREACH, syscall.EMFILE} {
		prefill := newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone))
		decode := newScriptedEngine(t, "127.0.0.3", respondWith(completeStream))
		core, logs := observer.New(zap.InfoLevel)
		e := newLoggedPlatformEdge(t, 1024, nil, fixedSource{readyEntry("s-1", "m1", prefill), readyEntry("s-2", "m2", decode)}, zap.New(core))
		var dials atomic.Int64
		e.UseDial(func(ctx context.Context, address string) (net.Conn, error) {
			if dials.Add(1) <= 3 {
				return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", errno)}
			}
			var d net.Dialer
			return d.DialContext(ctx, "tcp", address)
		})
		startAndAwaitReady(t, e)
		for i := range 3 {
			if status, body, err := postChat(t, e, fmt.Sprint("a", i), "alert"); status != 200 || err != nil || body != streamEvents {
				t.Errorf("%v: request %d: status %d, body %q, error %v", errno, i, status, body, err)
			}
		}
		if dials.Load() <= 3 {
			t.Errorf("%v: only %d dials, want retries after the third", errno, dials.Load())
		}
		e.Stop()
		for _, line := range logs.FilterMessage("attempt ended").All() {
			t.Errorf("%v: an attempt failed: %v", errno, line.ContextMap())
		}
	}
}

// A lack of local resources that lasts longer than the dial timeout ends the attempt, but is not a fault of the engine either.
func TestLocalDialFailureUntilTimeoutIsNotEngineFault(t *testing.T) {
	prefill := newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone))
	decode := newScriptedEngine(t, "127.0.0.3", respondWith(completeStream))
	core, logs := observer.New(zap.InfoLevel)
	e := newLoggedPlatformEdge(t, 1024, nil, fixedSource{readyEntry("s-1", "m1", prefill), readyEntry("s-2", "m2", decode)}, zap.New(core))
	startedAt := time.Now()
	e.UseDial(func(ctx context.Context, address string) (net.Conn, error) {
		if time.Since(startedAt) < 400*time.Millisecond {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("socket", syscall.EMFILE)}
		}
		var d net.Dialer
		return d.DialContext(ctx, "tcp", address)
	})
	startAndAwaitReady(t, e)
	defer e.Stop()
	if status, body, err := postChat(t, e, "a", "alert"); status != 200 || err != nil || body != streamEvents {
		t.Errorf("%d %q %v", status, body, err)
	}
	ended := logs.FilterMessage("attempt ended").All()
	for _, line := range ended {
		if verdict := line.ContextMap()["verdict"]; verdict != "not sent" {
			t.Errorf("an attempt without a free descriptor ended with verdict %q", verdict)
		}
	}
	if len(ended) == 0 {
		t.Error("no attempt was affected by the shortage of descriptors")
	}
}

func TestDialTimeoutDuringPauseIsNotEngineFault(t *testing.T) {
	prefill := newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone))
	decode := newScriptedEngine(t, "127.0.0.3", respondWith(completeStream))
	core, logs := observer.New(zap.InfoLevel)
	e := newLoggedPlatformEdge(t, 1024, nil, fixedSource{readyEntry("s-1", "m1", prefill), readyEntry("s-2", "m2", decode)}, zap.New(core))
	var dials atomic.Int64
	e.UseDial(func(ctx context.Context, address string) (net.Conn, error) {
		if dials.Add(1) == 1 {
			<-ctx.Done()
			time.Sleep(100 * time.Millisecond) // The timeout of the dial is observed with this delay.
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
		}
		var d net.Dialer
		return d.DialContext(ctx, "tcp", address)
	})
	startAndAwaitReady(t, e)
	defer e.Stop()
	if status, body, err := postChat(t, e, "a", "alert"); status != 200 || err != nil || body != streamEvents {
		t.Errorf("%d %q %v", status, body, err)
	}
	ended := logs.FilterMessage("attempt ended").All()
	if len(ended) != 1 || ended[0].ContextMap()["verdict"] != "not sent" {
		t.Errorf("failed attempts: %v, want one with verdict \"not sent\"", ended)
	}
}
