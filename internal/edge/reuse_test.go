package edge_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"time"

	"sandcourse/internal/config"
	"sandcourse/internal/edge"
)

func waitForSignal(t *testing.T, comes <-chan struct{}) {
	t.Helper()
	select {
	case <-comes:
	case <-time.After(10 * time.Second):
		t.Fatal("the poller does not come")
	}
}

// A poller takes a row of events at once. While it is at the first of them the owner closes a connection whose end a
// later one tells, and a new connection gets the same descriptor. The stale event must not end the new one.
func TestReusedDescriptorIgnoresStaleEvent(t *testing.T) {
	n := newPlatformEdge(t, 1024, func(d *config.Deployment) { d.Limits.IdleTimeout = time.Second },
		newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone)), newScriptedEngine(t, "127.0.0.3", respondWith(completeStream)))
	n.UseOnePoller()
	comes, goes := make(chan struct{}), make(chan struct{})
	holds := make(chan bool, 1)
	holds <- false
	n.OnSyncPoint(func(at edge.SyncPoint) {
		on := <-holds
		holds <- on
		if on && at == edge.ClientReadable {
			comes <- struct{}{}
			<-goes
		}
	})
	startReady(t, n)
	before, first, leaver := dialRaw(t, n), dialRaw(t, n), dialRaw(t, n)
	for i, client := range []*rawClient{before, first, leaver} {
		client.send(requestText(fmt.Sprint("a", i), "chat"))
		if status, _ := client.readResponse(); status != 200 {
			t.Fatal(status)
		}
	}
	// The new connection's socket is there before, and all lower descriptors are in use, so that those which become free
	// are the next to be given out.
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	for range 64 {
		filler, err := os.Open(os.DevNull)
		if err != nil {
			t.Fatal(err)
		}
		defer filler.Close()
	}
	<-holds
	holds <- true
	before.send("P")
	waitForSignal(t, comes) // the poller stands at a row of one event; the next row has the other two, in this order
	first.send("P")
	leaver.conn.Close()
	goes <- struct{}{}
	waitForSignal(t, comes)
	// The owner ends the leaver's connection as idle: its end has not been handled.
	waitFor(t, "the idle connection is closed", func() bool {
		h, err := n.Usage(context.Background())
		return err == nil && h.Clients == 2
	})
	at := netip.MustParseAddrPort(n.Addr())
	if err := syscall.Connect(socket, &syscall.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()}); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the new connection is there, or held back", func() bool {
		h, err := n.Usage(context.Background())
		return err == nil && h.Clients == 3 || n.WaitingConnections() == 1
	})
	file := os.NewFile(uintptr(socket), "new connection")
	conn, err := net.FileConn(file)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	file.Close()
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	fresh := &rawClient{t, conn, bufio.NewReader(conn)}
	fresh.send(requestText("b", "chat"))
	<-holds
	holds <- false
	goes <- struct{}{}
	if status, _ := fresh.readResponse(); status != 200 {
		t.Errorf("status %d on the new connection", status)
	}
	n.Stop()
}
