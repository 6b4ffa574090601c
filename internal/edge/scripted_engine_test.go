package edge_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// scriptedEngine is a fake engine of the platform whose responses a test defines byte for byte.
type scriptedEngine struct {
	addr             string
	mu               sync.Mutex
	requests         []string // method, path and name of each request
	reply            func(n int, r *http.Request) (wire string, disconnect bool)
	singleUse        bool   // a second request on a connection closes it
	trailer          string // bytes that are sent some milliseconds after each response to a chat request
	closeOnRequestID string // the connection is closed without a response to the first request with this ID
	connections      map[net.Conn]bool
}

// newScriptedEngine starts an engine at an IP address of 127.0.0.0/8, the range that the platform uses for engines.
func newScriptedEngine(t *testing.T, host string, reply func(n int, r *http.Request) (string, bool)) *scriptedEngine {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	e := &scriptedEngine{addr: l.Addr().String(), reply: reply, connections: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	return e
}

func (e *scriptedEngine) serve(c net.Conn) {
	defer c.Close()
	e.mu.Lock()
	e.connections[c] = true
	e.mu.Unlock()
	in := bufio.NewReader(c)
	for served := 0; ; served++ {
		r, err := http.ReadRequest(in)
		if err != nil || e.singleUse && served > 0 {
			return
		}
		io.Copy(io.Discard, r.Body)
		e.mu.Lock()
		e.requests = append(e.requests, r.Method+" "+r.URL.Path+" "+r.Header.Get("Request-Id"))
		n := len(e.requests)
		closeNow := e.closeOnRequestID != "" && e.closeOnRequestID == r.Header.Get("Request-Id")
		if closeNow {
			e.closeOnRequestID = ""
		}
		e.mu.Unlock()
		if closeNow {
			return
		}
		wire, disconnect := "HTTP/1.1 204 No Content\r\n\r\n", false
		if r.Method == http.MethodPost {
			wire, disconnect = e.reply(n, r)
		} else if r.Method == http.MethodGet {
			wire = "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nTEXT x0=0.1, x1=0.0\n"
		}
		io.WriteString(c, wire)
		if r.Method == http.MethodPost && e.trailer != "" {
			time.AfterFunc(3*time.Millisecond, func() { io.WriteString(c, e.trailer) })
		}
		if disconnect {
			return
		}
	}
}

func (e *scriptedEngine) countRequests(prefix string) (count int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.requests {
		if strings.HasPrefix(s, prefix) {
			count++
		}
	}
	return count
}

// closeOnRequest makes the engine close the connection without a response to the next request with the given ID.
func (e *scriptedEngine) closeOnRequest(requestID string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closeOnRequestID = requestID
}

// writeAll writes to all connections.
func (e *scriptedEngine) writeAll(wire string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.connections {
		io.WriteString(c, wire)
	}
}

// closeAll closes all connections.
func (e *scriptedEngine) closeAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.connections {
		c.Close()
	}
}

const (
	prefillDone = "HTTP/1.1 202 Accepted\r\nServer-Load: TEXT x0=0.1, x1=0\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":4}"
	streamHead  = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	notStarted  = "HTTP/1.1 503 Service Unavailable\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
)

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

func streamEvent(text string) string { return chunk("data: " + text + "\n\n") }

var completeStream = streamHead + streamEvent(`{"choices":[1]}`) + streamEvent(`{"usage":{}}`) + streamEvent("[DONE]") +
	chunk(": Server-Load: TEXT x0=0.2, x1=0\n\n") + "0\r\n\r\n"

const streamEvents = "data: {\"choices\":[1]}\n\ndata: {\"usage\":{}}\n\ndata: [DONE]\n\n"

func respondWith(wire string) func(int, *http.Request) (string, bool) {
	return func(int, *http.Request) (string, bool) { return wire, false }
}

func respondAndDisconnect(wire string) func(int, *http.Request) (string, bool) {
	return func(int, *http.Request) (string, bool) { return wire, true }
}
