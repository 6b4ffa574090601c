// Package platformengine is a fake of the prefill and decode engines of the operators' platform on loopback sockets,
// written from the published protocol, for tests. The engines of a fleet share one account of the reservations and
// attempts of each request, from what reached them and never from what a router believes. Its figures are invented.
package platformengine

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"sandcourse/internal/audit"
	"sandcourse/internal/protocol/platform"
)

// Role is what an engine does.
type Role string

// The roles of an engine.
const (
	Prefill Role = "read"
	Decode  Role = "write"
)

const readHeaderTimeout = 10 * time.Second

// loadReport is the report of an idle engine: no router sheds load for it.
const loadReport = "TEXT x0=0.1, x1=0.0"

// Config is what an engine can do.
type Config struct {
	ID       string
	Role     Role
	Slots    int           // attempts that it works on at once; others wait
	WorkTime time.Duration // of a prefill, and between the events of a response
	Events   int           // of a response
	IdleTime time.Duration // after which it closes an idle connection; 0 for never
}

// Engine is one fake engine.
type Engine struct {
	Config
	Addr string

	fleet  *Fleet
	server *http.Server
	slots  chan struct{}
}

// Start starts an engine of the fleet on a port of its own.
func (f *Fleet) Start(c Config) (*Engine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("fake engine %s: %w", c.ID, err)
	}
	e := &Engine{Config: c, Addr: listener.Addr().String(), fleet: f, slots: make(chan struct{}, c.Slots)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+platform.CompletionsPath, e.serveAttempt)
	mux.HandleFunc("DELETE "+platform.ReservationsPath+"{request}", e.serveRelease)
	mux.HandleFunc("GET "+platform.LoadReportPath, e.serveLoad)
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: c.IdleTime}
	go func() { _ = e.server.Serve(listener) }() // ends with http.ErrServerClosed
	f.record(audit.EngineRecord{Engine: e.ID, Event: audit.Started, Decode: e.isDecode()})
	return e, nil
}

// Stop ends it; its connections are closed.
func (e *Engine) Stop() { e.server.Close() }

func (e *Engine) isDecode() bool { return e.Role == Decode }

// listEntry is an engine as the discovery service lists it.
type listEntry struct {
	ID              string      `json:"instanceId"`
	Addr            string      `json:"hostPort"`
	Zone            string      `json:"zone"`
	Role            Role        `json:"machineType"`
	Cell            int         `json:"cell"`
	Lifecycle       Lifecycle   `json:"lifecycle"`
	Weight          json.Number `json:"weight"` // as the service writes it, with a fraction
	StartedAtMillis int64       `json:"startedAtMs"`
}

// Lifecycle is the state of an engine in the discovery service.
type Lifecycle string

// The states of an engine in the discovery service.
const (
	Serving  Lifecycle = "SERVING"
	Draining Lifecycle = "DRAINING"
	Deleted  Lifecycle = "DELETED"
)

// Entry is the engine as the discovery service lists it, in JSON: it serves, and has run for long.
func (e *Engine) Entry() string { return e.EntryIn(Serving, time.Time{}) }

// EntryIn is the engine as the discovery service lists it in a state; the zero time stands for a start long ago.
func (e *Engine) EntryIn(lifecycle Lifecycle, startedAt time.Time) string {
	listed := listEntry{ID: e.ID, Addr: e.Addr, Zone: "a", Role: e.Role, Lifecycle: lifecycle, Weight: "1.0"}
	if !startedAt.IsZero() {
		listed.StartedAtMillis = startedAt.UnixMilli()
	}
	entry, _ := json.Marshal(listed) // has no value that JSON lacks
	return string(entry)
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(platform.HeaderLoadReport, loadReport)
	writeString(w, loadReport+"\n")
}

// writeString fails only where the client has disconnected; the handler ends either way.
func writeString(w http.ResponseWriter, text string) { _, _ = io.WriteString(w, text) }
