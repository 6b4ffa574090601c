// Package platformengine is a stand-in for the prefill and decode engines of the operators' platform on loopback
// sockets, written from the published protocol. The engines of a fleet share one account of the read states that are
// held for each request, kept by what reached them and never by what a node believes. Its figures are made up; it
// serves tests.
package platformengine

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"sandcourse/internal/audit"
	"sandcourse/internal/protocol/platform"
)

// Role is what an engine does.
type Role string

// The roles.
const (
	Prefill Role = "read"
	Decode  Role = "write"
)

// engineAttempt is one attempt of a request that has reached an engine whole.
type engineAttempt struct {
	waitsForReservation bool // for a state
	// engine and from are both ends of its connection: the engine's id, and the other side's address.
	engine, from string
	ended        bool // it is not out any more
}

// reservation is a read state that an engine holds.
type reservation struct{ engine string }

// fleetRequest is what the engines of a fleet know of one request.
type fleetRequest struct {
	attempts []*engineAttempt
	states   []*reservation
	released chan struct{} // closed when the first release has arrived
	releases int
}

// Fleet is some engines and their account.
type Fleet struct {
	// BeforeNotice, if there is one, runs before an engine takes note of a connection that a node has closed with an
	// attempt on it. Released is closed once a release for the request has reached any engine. It is set before Start.
	BeforeNotice func(request string, released <-chan struct{})

	log      *audit.Log
	mu       sync.Mutex
	requests map[string]*fleetRequest
}

// NewFleet makes a fleet without engines that writes what they see to a log.
func NewFleet(log *audit.Log) *Fleet { return &Fleet{log: log, requests: map[string]*fleetRequest{}} }

// Config is what an engine can do.
type Config struct {
	ID       string
	Role     Role
	Slots    int           // attempts that it works on at once; others wait in its queue
	WorkTime time.Duration // of a read, and of each event of an answer
	Events   int           // of an answer
	IdleTime time.Duration // after which it closes a connection on which nothing is asked; 0 for never
}

// Engine is one stand-in.
type Engine struct {
	Config
	Addr   string
	fleet  *Fleet
	server *http.Server
	slots  chan struct{}
}

// Start listens on a port of its own.
func (f *Fleet) Start(c Config) (*Engine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("stand-in engine %s: %w", c.ID, err)
	}
	e := &Engine{Config: c, Addr: listener.Addr().String(), fleet: f, slots: make(chan struct{}, c.Slots)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+platform.CompletionsPath, e.serveAttempt)
	mux.HandleFunc("DELETE "+platform.ReservationsPath+"{request}", e.serveRelease)
	mux.HandleFunc("GET "+platform.LoadReportPath, e.serveLoad)
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: c.IdleTime}
	go e.server.Serve(listener)
	f.record(e, audit.Started, "")
	return e, nil
}

// Stop ends it; its connections are closed.
func (e *Engine) Stop() { e.server.Close() }

// Entry is the engine as discovery lists it.
func (e *Engine) Entry() string {
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":"a","machineType":%q,"cell":0,"lifecycle":"SERVING","weight":1.0,"startedAtMs":0}`,
		e.ID, e.Addr, e.Role)
}

// HeldReservations is how many states the fleet holds.
func (f *Fleet) HeldReservations() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.requests {
		n += len(r.states)
	}
	return n
}

// Releases is how many releases have arrived, over all requests.
func (f *Fleet) Releases() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.requests {
		n += r.releases
	}
	return n
}

func (f *Fleet) record(e *Engine, event audit.EngineEvent, name string) {
	f.log.RecordEngine(audit.EngineRecord{At: time.Now(), Engine: e.ID, Event: event, RequestID: name, ClientRequestID: name, Decode: e.Role == Decode})
}

// request is the record of a request. The caller holds the lock.
func (f *Fleet) request(name string) *fleetRequest {
	r := f.requests[name]
	if r == nil {
		r = &fleetRequest{released: make(chan struct{})}
		f.requests[name] = r
	}
	return r
}

func (e *Engine) serveAttempt(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // its last byte has not arrived
	}
	name := r.Header.Get(platform.HeaderRequestID)
	a := &engineAttempt{waitsForReservation: e.Role == Decode, engine: e.ID, from: r.RemoteAddr}
	e.fleet.startAttempt(e, name, a)
	defer e.fleet.endAttempt(e, name, a)
	if e.Role == Prefill {
		e.prefill(w, r, name)
	} else {
		e.decode(w, r, name, a)
	}
}

func (f *Fleet) startAttempt(e *Engine, name string, a *engineAttempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	record := f.request(name)
	record.attempts = append(record.attempts, a)
	f.record(e, audit.AttemptStarted, name)
}

func (f *Fleet) endAttempt(e *Engine, name string, a *engineAttempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	record := f.request(name)
	record.attempts = slices.DeleteFunc(record.attempts, func(other *engineAttempt) bool { return other == a })
	f.over(e.ID, name, a)
}

// over notes, once, that an attempt is not out any more. The caller holds the lock.
func (f *Fleet) over(engine, name string, a *engineAttempt) {
	if !a.ended {
		a.ended = true
		f.log.RecordEngine(audit.EngineRecord{At: time.Now(), Engine: engine, Event: audit.AttemptEnded, RequestID: name, ClientRequestID: name})
	}
}

// RouterClosed notes that a node has closed a connection that its engine may not have seen the end of yet: what was asked on
// it is not out any more. Address is the connection's other side as the engine knows it.
func (f *Fleet) RouterClosed(engine, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, record := range f.requests {
		for _, a := range record.attempts {
			if a.engine == engine && a.from == address {
				f.over(engine, name, a)
			}
		}
	}
}

// prefill reads a prompt to its end, whether or not its node still waits, and holds the state then.
func (e *Engine) prefill(w http.ResponseWriter, r *http.Request, name string) {
	e.slots <- struct{}{}
	time.Sleep(e.WorkTime)
	<-e.slots
	e.fleet.reserve(e, name)
	if r.Context().Err() != nil {
		e.notice(name)
		return
	}
	w.Header().Set(platform.HeaderLoadReport, loadReport)
	w.WriteHeader(http.StatusAccepted)
	io.WriteString(w, `{"cached_tokens":0}`)
}

func (f *Fleet) reserve(e *Engine, name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	record := f.request(name)
	record.states = append(record.states, &reservation{engine: e.ID})
	f.record(e, audit.Reserved, name)
}

// decode waits for a slot, takes the state and streams. An attempt that its node gives up is out until the engine takes
// note of it.
func (e *Engine) decode(w http.ResponseWriter, r *http.Request, name string, a *engineAttempt) {
	select {
	case e.slots <- struct{}{}:
		defer func() { <-e.slots }()
	case <-r.Context().Done():
		e.notice(name)
		return
	}
	if !e.fleet.fetchReservation(e, name, a) {
		w.Header().Set(platform.HeaderNotStarted, "1")
		w.WriteHeader(http.StatusGone)
		return
	}
	e.stream(r.Context(), w)
}

// fetchReservation hands a state of a request to an attempt, and drops the others.
func (f *Fleet) fetchReservation(e *Engine, name string, a *engineAttempt) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	record := f.request(name)
	a.waitsForReservation = false
	taken := len(record.states) > 0
	if taken {
		f.record(e, audit.Executed, name)
	}
	f.release(record, name, "taken")
	return taken
}

// release lets go of all states of a request. The caller holds the lock.
func (f *Fleet) release(record *fleetRequest, name, how string) {
	for _, s := range record.states {
		f.log.RecordEngine(audit.EngineRecord{At: time.Now(), Engine: s.engine, Event: audit.Released, RequestID: name, ClientRequestID: name, Detail: how})
	}
	record.states = nil
}

func (e *Engine) stream(ctx context.Context, w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range e.Events {
		if ctx.Err() != nil {
			panic(http.ErrAbortHandler)
		}
		if i > 0 {
			time.Sleep(e.WorkTime)
		}
		fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"w%d\"},\"finish_reason\":null}]}\n\n", i)
		w.(http.Flusher).Flush()
	}
	io.WriteString(w, "data: [DONE]\n\n: "+platform.HeaderLoadReport+": "+loadReport+"\n\n")
}

// notice takes note of a connection that was closed.
func (e *Engine) notice(name string) {
	if e.fleet.BeforeNotice == nil {
		return
	}
	e.fleet.mu.Lock()
	released := e.fleet.request(name).released
	e.fleet.mu.Unlock()
	e.fleet.BeforeNotice(name, released)
}

// serveRelease lets go, at all engines, of what no attempt of the request waits for.
func (e *Engine) serveRelease(w http.ResponseWriter, r *http.Request) {
	f, name := e.fleet, strings.TrimPrefix(r.URL.Path, platform.ReservationsPath)
	f.mu.Lock()
	defer f.mu.Unlock()
	record := f.request(name)
	if record.releases++; record.releases == 1 {
		close(record.released)
	}
	if !slices.ContainsFunc(record.attempts, func(a *engineAttempt) bool { return a.waitsForReservation }) {
		f.release(record, name, "released")
	}
	w.WriteHeader(http.StatusNoContent)
}

// loadReport says that an engine is idle: nodes must not turn away what the test wants to be sent.
const loadReport = "TEXT x0=0.1, x1=0.0"

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(platform.HeaderLoadReport, loadReport)
	io.WriteString(w, loadReport+"\n")
}
