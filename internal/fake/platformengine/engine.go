// Package platformengine implements fake prefill and decode engines of the operators' platform for tests. The engines listen on
// loopback sockets and follow the published protocol. The engines of a fleet share the state of the reservations and attempts of each
// request, derived only from the messages that reached them, never from a router's state. Load reports and durations are not those
// of real engines.
package platformengine

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"sandcourse/internal/audit"
	"sandcourse/internal/protocol/platform"
)

// Role is the role of an engine.
type Role string

// The roles of an engine.
const (
	Prefill Role = "read"
	Decode  Role = "write"
)

const readHeaderTimeout = 10 * time.Second

// loadReport is the load report of an idle engine, so that routers do not shed requests.
const loadReport = "TEXT x0=0.1, x1=0.0"

// Config configures an engine.
type Config struct {
	ID       string
	Role     Role
	Slots    int           // number of attempts processed concurrently; others wait
	WorkTime time.Duration // duration of a prefill, and of the pause between the events of a response
	Events   int           // number of events of a response
	IdleTime time.Duration // time after which an idle connection is closed; 0 for never
	// Responses that begin within EndlessTime after the first one have EndlessBytes bytes of a body, or of one event of a stream,
	// and then neither continue nor end. No response is endless if EndlessTime is 0.
	EndlessTime  time.Duration
	EndlessBytes int
}

// Engine is one fake engine.
type Engine struct {
	Config
	Addr string

	fleet         *Fleet
	server        *http.Server
	slots         chan struct{}
	firstResponse func() time.Time // returns the time of the first call
}

// Start adds an engine to the fleet and starts it on an unused port.
func (f *Fleet) Start(c Config) (*Engine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("fake engine %s: %w", c.ID, err)
	}
	e := &Engine{Config: c, Addr: listener.Addr().String(), fleet: f, slots: make(chan struct{}, c.Slots),
		firstResponse: sync.OnceValue(time.Now)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+platform.CompletionsPath, e.serveAttempt)
	mux.HandleFunc("DELETE "+platform.ReservationsPath+"{request}", e.serveRelease)
	mux.HandleFunc("GET "+platform.LoadReportPath, e.serveLoad)
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: c.IdleTime}
	go func() { _ = e.server.Serve(listener) }() // Serve ends with http.ErrServerClosed.
	f.record(audit.EngineRecord{Engine: e.ID, Event: audit.Started, Decode: e.isDecode()})
	return e, nil
}

// Stop stops the engine and closes its connections.
func (e *Engine) Stop() { e.server.Close() }

func (e *Engine) isDecode() bool { return e.Role == Decode }

// listEntry is the discovery service's entry of an engine.
type listEntry struct {
	ID              string      `json:"instanceId"`
	Addr            string      `json:"hostPort"`
	Zone            string      `json:"zone"`
	Role            Role        `json:"machineType"`
	Cell            int         `json:"cell"`
	Lifecycle       Lifecycle   `json:"lifecycle"`
	Weight          json.Number `json:"weight"` // weight, encoded with a fraction as by the service
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

// Entry returns the JSON of the engine's entry in the discovery service, in state Serving and without a recent start.
func (e *Engine) Entry() string { return e.EntryIn(Serving, time.Time{}) }

// EntryIn returns the JSON of the engine's entry in the discovery service in a state. A zero startedAt means no recent start.
func (e *Engine) EntryIn(lifecycle Lifecycle, startedAt time.Time) string {
	listed := listEntry{ID: e.ID, Addr: e.Addr, Zone: "a", Role: e.Role, Lifecycle: lifecycle, Weight: "1.0"}
	if !startedAt.IsZero() {
		listed.StartedAtMillis = startedAt.UnixMilli()
	}
	entry, _ := json.Marshal(listed) // Marshal cannot fail, as all values can be represented in JSON.
	return string(entry)
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(platform.HeaderLoadReport, loadReport)
	writeString(w, loadReport+"\n")
}

// writeString writes a response text. An error is ignored: the client has disconnected, and the handler ends in either case.
func writeString(w http.ResponseWriter, text string) { _, _ = io.WriteString(w, text) }
