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

// pollerPause pauses the poller at each readable connection while it is on.
type pollerPause struct {
	arrived, proceed chan struct{}
	on               chan bool // holds one value
}

func newPollerPause(e *edge.Edge) *pollerPause {
	p := &pollerPause{arrived: make(chan struct{}), proceed: make(chan struct{}), on: make(chan bool, 1)}
	p.on <- false
	e.OnSyncPoint(func(at edge.SyncPoint) {
		on := <-p.on
		p.on <- on
		if on && at == edge.ClientReadable {
			p.arrived <- struct{}{}
			<-p.proceed
		}
	})
	return p
}

func (p *pollerPause) set(on bool) {
	<-p.on
	p.on <- on
}

// clientCount is whether an edge has so many clients.
func clientCount(e *edge.Edge, count int) bool {
	usage, err := e.Usage(context.Background())
	return err == nil && usage.Clients == count
}

// reserveSocket makes a socket, and then takes all lower descriptors that are free, so that those which become free are
// the next to be given out.
func reserveSocket(t *testing.T) (socket int) {
	t.Helper()
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	for range 64 {
		filler, err := os.Open(os.DevNull)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { filler.Close() })
	}
	return socket
}

// connectSocket connects a socket to an edge.
func connectSocket(t *testing.T, socket int, e *edge.Edge) {
	t.Helper()
	at := netip.MustParseAddrPort(e.Addr())
	if err := syscall.Connect(socket, &syscall.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()}); err != nil {
		t.Fatal(err)
	}
}

// socketClient is a client on a connected socket.
func socketClient(t *testing.T, socket int) *rawClient {
	t.Helper()
	file := os.NewFile(uintptr(socket), "new connection")
	conn, err := net.FileConn(file)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	file.Close()
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	return &rawClient{t, conn, bufio.NewReader(conn)}
}

// A poller takes a batch of events at once. While it is at the first of them the owner closes a connection whose end a
// later one reports, and a new connection gets the same descriptor. The stale event must not end the new one.
func TestReusedDescriptorIgnoresStaleEvent(t *testing.T) {
	e := newPlatformEdge(t, 1024, func(d *config.Deployment) { d.Limits.IdleTimeout = time.Second },
		newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone)), newScriptedEngine(t, "127.0.0.3", respondWith(completeStream)))
	e.UseOnePoller()
	poller := newPollerPause(e)
	startReady(t, e)
	before, first, leaving := dialRaw(t, e), dialRaw(t, e), dialRaw(t, e)
	for i, client := range []*rawClient{before, first, leaving} {
		client.send(requestText(fmt.Sprint("a", i), "chat"))
		if status, _ := client.readResponse(); status != 200 {
			t.Fatal(status)
		}
	}
	socket := reserveSocket(t)
	poller.set(true)
	before.send("P")
	waitForSignal(t, poller.arrived) // paused at a batch of one event; the next batch has the other two, in this order
	first.send("P")
	leaving.conn.Close()
	poller.proceed <- struct{}{}
	waitForSignal(t, poller.arrived)
	// The owner closes the leaving client's connection as idle: its end has not been handled.
	waitFor(t, "the idle connection is closed", func() bool { return clientCount(e, 2) })
	connectSocket(t, socket, e)
	waitFor(t, "the new connection is there, or held back", func() bool {
		return clientCount(e, 3) || e.WaitingConnections() == 1
	})
	fresh := socketClient(t, socket)
	fresh.send(requestText("b", "chat"))
	poller.set(false)
	poller.proceed <- struct{}{}
	if status, _ := fresh.readResponse(); status != 200 {
		t.Errorf("status %d on the new connection", status)
	}
	e.Stop()
}
