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

// A connection that this machine cannot make for a moment is no fault of the engine: it is retried a moment later, and
// no engine counts as failed.
func TestDialFailsLocallyOnce(t *testing.T) {
	for _, no := range []syscall.Errno{syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENETUNREACH, syscall.EMFILE} {
		prefill := newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone))
		decode := newScriptedEngine(t, "127.0.0.3", respondWith(completeStream))
		core, seen := observer.New(zap.InfoLevel)
		e := newLoggedPlatformEdge(t, 1024, nil, fixedSource{engineAt("s-1", "m1", prefill), engineAt("s-2", "m2", decode)}, zap.New(core))
		var failed atomic.Int64
		e.UseDial(func(ctx context.Context, address string) (net.Conn, error) {
			if failed.Add(1) <= 3 {
				return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", no)}
			}
			var d net.Dialer
			return d.DialContext(ctx, "tcp", address)
		})
		startReady(t, e)
		for i := range 3 {
			if status, body, err := postChat(t, e, fmt.Sprint("a", i), "alert"); status != 200 || err != nil || body != streamEvents {
				t.Errorf("%v: request %d: %d %q %v", no, i, status, body, err)
			}
		}
		if failed.Load() <= 3 {
			t.Errorf("%v: %d connections were attempted", no, failed.Load())
		}
		e.Stop()
		for _, line := range seen.FilterMessage("attempt ended").All() {
			t.Errorf("%v: an attempt failed: %v", no, line.ContextMap())
		}
	}
}

// A shortage that lasts longer than the dial timeout ends the attempt, and is still no fault of the engine.
func TestDialFailsLocallyUntilTimeout(t *testing.T) {
	prefill := newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone))
	decode := newScriptedEngine(t, "127.0.0.3", respondWith(completeStream))
	core, seen := observer.New(zap.InfoLevel)
	e := newLoggedPlatformEdge(t, 1024, nil, fixedSource{engineAt("s-1", "m1", prefill), engineAt("s-2", "m2", decode)}, zap.New(core))
	begun := time.Now()
	e.UseDial(func(ctx context.Context, address string) (net.Conn, error) {
		if time.Since(begun) < 400*time.Millisecond {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("socket", syscall.EMFILE)}
		}
		var d net.Dialer
		return d.DialContext(ctx, "tcp", address)
	})
	startReady(t, e)
	defer e.Stop()
	if status, body, err := postChat(t, e, "a", "alert"); status != 200 || err != nil || body != streamEvents {
		t.Errorf("%d %q %v", status, body, err)
	}
	ended := seen.FilterMessage("attempt ended").All()
	for _, line := range ended {
		if verdict := line.ContextMap()["verdict"]; verdict != "not sent" {
			t.Errorf("an attempt for which there was no descriptor ended as %q", verdict)
		}
	}
	if len(ended) == 0 {
		t.Error("no attempt met the shortage of descriptors")
	}
}

func TestDialThatTimesOutWhileTheProcessIsPausedIsNoFaultOfTheEngine(t *testing.T) {
	prefill := newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone))
	decode := newScriptedEngine(t, "127.0.0.3", respondWith(completeStream))
	core, seen := observer.New(zap.InfoLevel)
	e := newLoggedPlatformEdge(t, 1024, nil, fixedSource{engineAt("s-1", "m1", prefill), engineAt("s-2", "m2", decode)}, zap.New(core))
	var dials atomic.Int64
	e.UseDial(func(ctx context.Context, address string) (net.Conn, error) {
		if dials.Add(1) == 1 {
			<-ctx.Done()
			time.Sleep(100 * time.Millisecond) // the process looks at the end of the dial this late
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
		}
		var d net.Dialer
		return d.DialContext(ctx, "tcp", address)
	})
	startReady(t, e)
	defer e.Stop()
	if status, body, err := postChat(t, e, "a", "alert"); status != 200 || err != nil || body != streamEvents {
		t.Errorf("%d %q %v", status, body, err)
	}
	ended := seen.FilterMessage("attempt ended").All()
	if len(ended) != 1 || ended[0].ContextMap()["verdict"] != "not sent" {
		t.Errorf("attempts that failed: %v, want one that was not sent", ended)
	}
}
