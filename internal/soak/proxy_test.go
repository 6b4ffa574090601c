package soak

import (
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"
)

// startEchoServer starts a server that sends back what it reads.
func startEchoServer(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				io.Copy(conn, conn)
				conn.Close()
			}()
		}
	}()
	return listener
}

// exchange sends a text through a proxy and returns the bytes received in return, with any error.
func exchange(t *testing.T, p *proxy, text string) (string, error) {
	t.Helper()
	conn, err := net.Dial("tcp", p.addr())
	if err != nil {
		return "", err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(300 * time.Millisecond))
	if _, err := io.WriteString(conn, text); err != nil {
		return "", err
	}
	got := make([]byte, len(text))
	n, err := io.ReadFull(conn, got)
	return string(got[:n]), err
}

func TestProxyAppliesFaults(t *testing.T) {
	p, err := newProxy(startEchoServer(t).Addr().String(), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer p.close()
	for _, c := range []struct {
		fault proxyFault
		got   string
		ok    bool
	}{
		{noFault, "some words", true},
		{connectionsStalled, "", false},
		{connectionsRefused, "", false},
		{responsesCut, "some ", false},
		{requestsDelayed, "some words", true},
		{noFault, "some words", true},
	} {
		p.setFault(c.fault)
		got, err := exchange(t, p, "some words")
		if got != c.got || (err == nil) != c.ok {
			t.Errorf("%v: %q %v", c.fault, got, err)
		}
	}
	p.setFault(responsesGarbled)
	if got, _ := exchange(t, p, "some words"); strings.Contains(got, "some") {
		t.Errorf("responses garbled: %q", got)
	}
}

// If an edge closes a connection during a stall, the bytes that it wrote before must not reach the engine, and the close must be
// reported.
func TestProxyReportsAbandonedConnection(t *testing.T) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	closed := make(chan string, 1)
	p, err := newProxy(server.Addr().String(), func(address string) { closed <- address })
	if err != nil {
		t.Fatal(err)
	}
	defer p.close()
	p.setFault(connectionsStalled)
	edge, err := net.Dial("tcp", p.addr())
	if err != nil {
		t.Fatal(err)
	}
	engine, err := server.Accept()
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(edge, "a request")
	edge.Close()
	if address := <-closed; address != engine.RemoteAddr().String() {
		t.Errorf("close of %s reported, want %s", address, engine.RemoteAddr())
	}
	p.setFault(noFault)
	engine.SetDeadline(time.Now().Add(5 * time.Second))
	if got, err := io.ReadAll(engine); len(got) > 0 || !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("engine read %q and error %v from the abandoned connection", got, err)
	}
}
