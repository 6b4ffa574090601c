package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const loadReport = "TEXT x0=0.1, x1=0.0"

// Fleet is a group of engines. They share only the knowledge of which engine holds which request's read state, as a writer
// fetches the state from the reader.
type Fleet struct {
	Record *Record

	mu   sync.Mutex
	held map[string]int // read states that are held, by request
	runs map[string]int // answers that were begun, by request
}

// NewFleet returns a fleet without engines.
func NewFleet(record *Record) *Fleet {
	return &Fleet{Record: record, held: map[string]int{}, runs: map[string]int{}}
}

// Engine is a stand-in for an engine, a reader or a writer, on a loopback socket.
type Engine struct {
	ID       string
	Writer   bool
	ReadTime time.Duration // duration of a read
	Gap      time.Duration // time between two events of a stream
	Events   int           // events with text in a stream

	// SecondAnswer, if set, returns how long after the end of a stream a second copy of it follows; 0 for none.
	SecondAnswer func(request string) time.Duration

	Address  string
	fleet    *Fleet
	listener net.Listener

	mu       sync.Mutex
	draining bool
	attempts []time.Time // arrivals of the last byte of each attempt
}

// Drain makes the engine complete what it has and turn away new attempts.
func (e *Engine) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
}

// Attempts returns when the attempts arrived, also those that were turned away.
func (e *Engine) Attempts() []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.attempts)
}

// arrive records an attempt and reports whether it is served.
func (e *Engine) arrive() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.attempts = append(e.attempts, time.Now())
	return !e.draining
}

// Start starts an engine of the fleet.
func (f *Fleet) Start(e *Engine) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.fleet, e.listener, e.Address = f, listener, listener.Addr().String()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	return nil
}

// Stop stops accepting connections.
func (e *Engine) Stop() { e.listener.Close() }

// Entry returns the engine's entry in a list of discovery.
func (e *Engine) Entry(lifecycle string) string {
	kind := "read"
	if e.Writer {
		kind = "write"
	}
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":"a","machineType":%q,"cell":0,"lifecycle":%q,"weight":1.0,"startedAtMs":0}`,
		e.ID, e.Address, kind, lifecycle)
}

// serve serves the requests of one connection, one after the other.
func (e *Engine) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if err := e.answer(conn, request); err != nil {
			return
		}
	}
}

func (e *Engine) answer(conn net.Conn, request *http.Request) error {
	id := request.Header.Get("Request-Id")
	switch {
	case request.Method == http.MethodDelete:
		id = strings.TrimPrefix(request.URL.Path, "/v1/holds/")
		e.fleet.release(id)
		e.fleet.Record.Printf("engine %s: hold of %s released", e.ID, id)
		return reply(conn, "204 No Content", "", "")
	case request.Method == http.MethodGet:
		return reply(conn, "200 OK", "", loadReport+"\n")
	case !e.arrive():
		e.fleet.Record.Printf("engine %s: drains, %s turned away", e.ID, id)
		return reply(conn, "503 Service Unavailable", "Not-Started: 1\r\n", "")
	case e.Writer:
		return e.write(conn, id)
	}
	e.fleet.Record.Printf("engine %s: read of %s, time left %s", e.ID, id, request.Header.Get("Request-Timeout"))
	time.Sleep(e.ReadTime)
	e.fleet.hold(id)
	return reply(conn, "202 Accepted", "", `{"cached_tokens":0}`)
}

// write fetches the read state of a request and streams its answer.
func (e *Engine) write(conn net.Conn, id string) error {
	if !e.fleet.fetch(id) {
		e.fleet.Record.Printf("engine %s: no state for %s", e.ID, id)
		return reply(conn, "410 Gone", "Not-Started: 1\r\n", "")
	}
	e.fleet.Record.Printf("engine %s: answer to %s begins", e.ID, id)
	if err := e.stream(conn, id, e.Gap); err != nil {
		e.fleet.Record.Printf("engine %s: answer to %s broken off: %v", e.ID, id, err)
		return err
	}
	e.fleet.Record.Printf("engine %s: answer to %s written to its end", e.ID, id)
	if e.SecondAnswer == nil {
		return nil
	}
	late := e.SecondAnswer(id)
	if late == 0 {
		return nil
	}
	time.Sleep(late)
	e.fleet.Record.Printf("engine %s: second answer to %s, %v late", e.ID, id, late)
	return e.stream(conn, id, 0)
}

// stream writes the answer to a request, whose text names the request.
func (e *Engine) stream(conn net.Conn, id string, gap time.Duration) error {
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nServer-Load: " + loadReport + "\r\n\r\n"
	text := head + chunk(Event(id, 0))
	for i := 1; i < e.Events; i++ {
		if _, err := io.WriteString(conn, text); err != nil {
			return err
		}
		time.Sleep(gap)
		text = chunk(Event(id, i))
	}
	usage := `{"choices":[],"usage":{"prompt_tokens":500,"completion_tokens":50,"prompt_tokens_details":{"cached_tokens":0}}}`
	text += chunk(usage) + chunk("[DONE]") + "0\r\n\r\n"
	_, err := io.WriteString(conn, text)
	return err
}

// Event returns the data of an event of the answer to a request.
func Event(id string, number int) string {
	content, _ := json.Marshal(fmt.Sprintf("%s/%d", id, number)) // Strings can be represented.
	return fmt.Sprintf(`{"choices":[{"index":0,"delta":{"content":%s},"finish_reason":null}]}`, content)
}

func chunk(event string) string {
	data := "data: " + event + "\n\n"
	return fmt.Sprintf("%x\r\n%s\r\n", len(data), data)
}

// reply writes an answer that is not a stream.
func reply(conn net.Conn, status, headers, body string) error {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	if body == "" && strings.HasPrefix(status, "204") {
		length = ""
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%sServer-Load: %s\r\n%s\r\n%s", status, headers, loadReport, length, body)
	return err
}

func (f *Fleet) hold(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.held[id]++
}

func (f *Fleet) fetch(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	held := f.held[id] > 0
	delete(f.held, id)
	if held {
		f.runs[id]++
	}
	return held
}

func (f *Fleet) release(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.held, id)
}

// Runs returns how many answers to a request were begun.
func (f *Fleet) Runs(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[id]
}
