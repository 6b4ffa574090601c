package parts

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Report is the load report of an engine that has little to do.
const Report = "TEXT x0=0.1, x1=0.0"

// Engine is a sound engine: a reader or a writer. The functions are set before Start; nil stands for the usual behaviour.
type Engine struct {
	ID      string
	Writer  bool
	Address string

	Work   time.Duration // time of a read, or between two events of a stream
	Events int           // events of a stream

	// AfterAnswer is called with the connection after each answer of a reader to a send.
	AfterAnswer func(conn net.Conn, request string)
	// AfterStream is called with the connection after the last chunk of each stream.
	AfterStream func(conn net.Conn, request string)
	// BeforeEvent is called before event i of a stream. It returns false if the connection is to be reset.
	BeforeEvent func(request string, i int) bool
	// TurnAway reports whether a send is turned away with 503 and Not-Started.
	TurnAway func(request string) bool
	// WorkFor returns the time of a read or until the first event, in place of Work.
	WorkFor func(request string) time.Duration

	fleet    *Fleet
	record   *Record
	listener net.Listener
	mu       sync.Mutex
	open     map[net.Conn]struct{}
}

// Start starts an engine on an unused port.
func (f *Fleet) Start(e *Engine) (*Engine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e.listener, e.Address, e.fleet, e.record, e.open = listener, listener.Addr().String(), f, f.record, map[net.Conn]struct{}{}
	go e.accept()
	return e, nil
}

// Member returns the engine's entry in discovery's list.
func (e *Engine) Member(lifecycle string) Member {
	kind := "prefill"
	if e.Writer {
		kind = "decode"
	}
	return Member{ID: e.ID, Address: e.Address, Zone: "dc1", Kind: kind, Cell: 1, Lifecycle: lifecycle, Weight: "1.0"}
}

// Stop ends the engine: its connections are reset, and new ones are refused.
func (e *Engine) Stop() {
	e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for conn := range e.open {
		reset(conn)
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // It fails only on a closed connection.
	}
	conn.Close()
}

func (e *Engine) accept() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.open[conn] = struct{}{}
		e.mu.Unlock()
		go e.serve(conn)
	}
}

// received is a message on a connection.
type received struct {
	method, path, id string
}

// serve handles one connection. A second goroutine reads, so that the close of the connection shows while a send is out.
func (e *Engine) serve(conn net.Conn) {
	defer func() {
		e.mu.Lock()
		delete(e.open, conn)
		e.mu.Unlock()
		conn.Close()
	}()
	messages, gone := make(chan received, 16), make(chan struct{})
	go func() {
		defer close(gone)
		in := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			messages <- received{r.Method, r.URL.Path, r.Header.Get("Request-Id")}
		}
	}()
	for {
		select {
		case <-gone:
			return
		case m := <-messages:
			if !e.handle(conn, m, gone) {
				reset(conn)
				return
			}
		}
	}
}

// answer writes a complete answer.
func answer(conn net.Conn, status string, fields, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, fields, len(body), body)
}

// handle handles one message. It returns false if the connection is to be reset.
func (e *Engine) handle(conn net.Conn, m received, gone <-chan struct{}) bool {
	switch {
	case m.method == http.MethodDelete:
		e.fleet.release(strings.TrimPrefix(m.path, "/v1/holds/"), e.ID)
		answer(conn, "204 No Content", "", "")
	case m.method == http.MethodGet && m.path == "/_load":
		answer(conn, "200 OK", "Server-Load: "+Report+"\r\n", Report)
	case m.method == http.MethodGet:
		answer(conn, "200 OK", "", "")
	case m.id == "":
		answer(conn, "404 Not Found", "", "")
	default:
		return e.handleSend(conn, m.id, gone)
	}
	return true
}

func (e *Engine) workFor(request string) time.Duration {
	if e.WorkFor != nil {
		return e.WorkFor(request)
	}
	return e.Work
}

func (e *Engine) handleSend(conn net.Conn, request string, gone <-chan struct{}) bool {
	s := e.fleet.begin(request, e.ID, e.Writer)
	if e.TurnAway != nil && e.TurnAway(request) {
		answer(conn, "503 Service Unavailable", "Not-Started: 1\r\n", "")
		e.fleet.end(s, "turned away")
		return true
	}
	select {
	case <-time.After(e.workFor(request)):
	case <-gone:
		e.fleet.end(s, "the node closed the connection")
		return false
	}
	if e.Writer {
		return e.stream(conn, s, gone)
	}
	e.fleet.keep(request)
	e.fleet.end(s, "read, answered 202")
	answer(conn, "202 Accepted", "Server-Load: "+Report+"\r\n", `{"cached_tokens":0}`)
	if e.AfterAnswer != nil {
		e.AfterAnswer(conn, request)
	}
	return true
}

// chunk writes one event as a chunk.
func chunk(conn net.Conn, event string) error {
	_, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
	return err
}

func (e *Engine) stream(conn net.Conn, s *Send, gone <-chan struct{}) bool {
	if !e.fleet.fetch(s) {
		answer(conn, "410 Gone", "Not-Started: 1\r\n", "")
		e.fleet.end(s, "no state, answered 410")
		return true
	}
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	for i := range e.Events {
		if e.BeforeEvent != nil && !e.BeforeEvent(s.Request, i) {
			e.fleet.end(s, "stream reset")
			return false
		}
		event := fmt.Sprintf(`data: {"choices":[{"index":0,"delta":{"content":"%s-%d "},"finish_reason":null}]}`+"\n\n", s.Request, i)
		if err := chunk(conn, event); err != nil {
			e.fleet.end(s, "stream broken")
			return false
		}
		select {
		case <-time.After(e.Work):
		case <-gone:
			e.fleet.end(s, "the node closed the connection in the stream")
			return false
		}
	}
	_ = chunk(conn, "data: [DONE]\n\n: Server-Load: "+Report+"\n\n") // The next write fails as well.
	e.fleet.end(s, "stream ended")
	_, err := fmt.Fprint(conn, "0\r\n\r\n")
	if e.AfterStream != nil {
		e.AfterStream(conn, s.Request)
	}
	return err == nil
}
