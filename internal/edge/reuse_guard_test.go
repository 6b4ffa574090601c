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

// pollerPause pauses the poller at each readable connection while it is enabled.
type pollerPause struct {
	arrived, proceed chan struct{}
	enabled          chan bool // channel that holds one value
}

func newPollerPause(e *edge.Edge) *pollerPause {
	p := &pollerPause{arrived: make(chan struct{}), proceed: make(chan struct{}), enabled: make(chan bool, 1)}
	p.enabled <- false
	e.OnSyncPoint(func(at edge.SyncPoint) {
		enabled := <-p.enabled
		p.enabled <- enabled
		if enabled && at == edge.ClientReadable {
			p.arrived <- struct{}{}
			<-p.proceed
		}
	})
	return p
}

func (p *pollerPause) setEnabled(enabled bool) {
	<-p.enabled
	p.enabled <- enabled
}

// hasClients reports whether an edge has the given number of client connections.
func hasClients(e *edge.Edge, count int) bool {
	usage, err := e.Usage(context.Background())
	return err == nil && usage.Clients == count
}

// reserveSocket creates a socket, and then occupies all lower free descriptors, so that a descriptor that is closed later
// is the next to be assigned.
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
	address := netip.MustParseAddrPort(e.Addr())
	if err := syscall.Connect(socket, &syscall.SockaddrInet4{Port: int(address.Port()), Addr: address.Addr().As4()}); err != nil {
		t.Fatal(err)
	}
}

// socketClient returns a client that uses a connected socket.
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

// While a poller handles the first event of a batch, the owner closes a connection, and a new connection gets its descriptor.
// A later event of the batch reports the close of the old connection. This stale event must not close the new one.
func TestReusedDescriptorIgnoresStaleEvent(t *testing.T) {
	e := newPlatformEdge(t, 1024, func(d *config.Deployment) { d.Limits.IdleTimeout = time.Second },
		newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone)), newScriptedEngine(t, "127.0.0.3", respondWith(completeStream)))
	e.UseOnePoller()
	poller := newPollerPause(e)
	startAndAwaitReady(t, e)
	earlier, first, leaving := dialRaw(t, e), dialRaw(t, e), dialRaw(t, e)
	for i, client := range []*rawClient{earlier, first, leaving} {
		client.send(requestText(fmt.Sprint("a", i), "chat"))
		if status, _ := client.readResponse(); status != 200 {
			t.Fatal(status)
		}
	}
	socket := reserveSocket(t)
	poller.setEnabled(true)
	earlier.send("P")
	waitForSignal(t, poller.arrived) // The batch has one event; the next one has the events of first and leaving.
	first.send("P")
	leaving.conn.Close()
	poller.proceed <- struct{}{}
	waitForSignal(t, poller.arrived)
	// The owner closes the leaving client's connection as idle, because the client's close has not been handled yet.
	waitFor(t, "the idle connection is closed", func() bool { return hasClients(e, 2) })
	connectSocket(t, socket, e)
	waitFor(t, "the new connection is registered or waits for that", func() bool {
		return hasClients(e, 3) || e.WaitingConnections() == 1
	})
	newClient := socketClient(t, socket)
	newClient.send(requestText("b", "chat"))
	poller.setEnabled(false)
	poller.proceed <- struct{}{}
	if status, _ := newClient.readResponse(); status != 200 {
		t.Errorf("status %d on the new connection", status)
	}
	e.Stop()
}
