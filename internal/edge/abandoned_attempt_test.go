package edge_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"sandcourse/internal/edge"
	"sandcourse/internal/endpoint"
)

// patientEngine is a prefill engine that works on a request until the router ends its sending. It then ends the connection in the
// way of the test.
type patientEngine struct {
	addr                         string
	prefills, releases, abandons atomic.Int64
	end                          func(conn net.Conn)
}

func newPatientEngine(t *testing.T, end func(conn net.Conn)) *patientEngine {
	l, err := net.Listen("tcp", "127.0.0.2:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	e := &patientEngine{addr: l.Addr().String(), end: end}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	return e
}

func (e *patientEngine) serve(conn net.Conn) {
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			conn.Close()
			return
		}
		io.Copy(io.Discard, r.Body)
		switch r.Method {
		case http.MethodPost:
			e.prefills.Add(1)
			in.ReadByte() // The call returns once the router has ended its sending.
			e.abandons.Add(1)
			e.end(conn)
			return
		case http.MethodDelete:
			e.releases.Add(1)
			io.WriteString(conn, "HTTP/1.1 204 No Content\r\n\r\n")
		default:
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	}
}

func resetConnection(conn net.Conn) {
	conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}

// Case 6 of the second review, on sockets: the engine's end of a connection that the router has half-closed ends the releases, long
// before the client's timeout of 15 s.
func TestEngineThatEndsAbandonedPrefillsGetsFewReleases(t *testing.T) {
	const clients = 20
	for name, c := range map[string]struct {
		end         func(net.Conn)
		maxReleases int // largest number of releases for each client
	}{
		"closes": {func(conn net.Conn) { conn.Close() }, 1},
		"completes its response": {func(conn net.Conn) {
			io.WriteString(conn, prefillDone)
			conn.Close()
		}, 1},
		// A reset may come from the network: releases are repeated every half limit, for three limits.
		"resets": {resetConnection, 8},
	} {
		prefill := newPatientEngine(t, c.end)
		decode := newScriptedEngine(t, "127.0.0.3", respondWith(completeStream))
		e := newPlatformEdgeFrom(t, 1024, nil, fixedSource{
			{ID: "s-1", Address: prefill.addr, Kind: "m1", Zone: "a", Weight: 1, State: endpoint.Ready}, readyEntry("s-2", "m2", decode)})
		startAndAwaitReady(t, e)
		for i := range clients {
			client := dialRaw(t, e)
			client.send(strings.Replace(requestText(fmt.Sprint("q", i), "chat"), "Request-Timeout: 3.0", "Request-Timeout: 15.0", 1))
			waitFor(t, "the prefill has begun", func() bool { return prefill.prefills.Load() == int64(i+1) })
			client.conn.Close()
		}
		waitFor(t, "all reservations are released", func() bool { return reservationsHeld(e) == 0 })
		releases := prefill.releases.Load() + int64(decode.countRequests("DELETE"))
		if abandons := prefill.abandons.Load(); abandons != clients || releases < clients || releases > int64(clients*c.maxReleases) {
			t.Errorf("%s: %d of %d prefills ended, %d releases, want at most %d each", name, abandons, clients, releases, c.maxReleases)
		}
		e.Stop()
	}
}

// reservationsHeld returns the number of reservations that engines may hold; -1 if the edge does not answer.
func reservationsHeld(e *edge.Edge) int {
	usage, err := e.Usage(context.Background())
	if err != nil || usage.Requests > 0 {
		return -1
	}
	return usage.Reservations
}
