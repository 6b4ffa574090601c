package engine

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"sandcourse/internal/audit"
	"sandcourse/internal/planner/planapi"
	"sandcourse/internal/protocol/engineapi"
)

const (
	// fetchPath is where a decode engine fetches a reservation from a prefill engine. The routers do not know it.
	fetchPath = "/sandcourse/fetch"
	// faultsPath is where tests set the faults of an engine in another process.
	faultsPath = "/admin/faults"

	readHeaderTimeout = 10 * time.Second

	listenAttempts   = 100
	listenRetryDelay = 20 * time.Millisecond
)

// incarnation is the time from a start to a crash. Whatever a request changes must be of the incarnation that it began in.
type incarnation struct {
	number int64
	ctx    context.Context // done after the crash
	cancel context.CancelFunc
}

// listen begins an incarnation.
func (e *Engine) listen(cold bool) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	listener, err := e.openListener(cold)
	if err != nil {
		return fmt.Errorf("fake engine %s: %w", e.config.Name, err)
	}
	e.addr, e.running = listener.Addr().String(), true
	e.reset(cold)
	server := &http.Server{Handler: e.handler(), ReadHeaderTimeout: readHeaderTimeout}
	e.server = server
	go func() { _ = server.Serve(listener) }() // ends with http.ErrServerClosed
	go e.expireReservations(e.incarnation.ctx)
	e.record(audit.EngineRecord{Event: audit.Started})
	return nil
}

// openListener opens the engine's port. After a crash the port may for a moment be that of an outgoing connection.
func (e *Engine) openListener(cold bool) (net.Listener, error) {
	listener, err := net.Listen("tcp", e.addr)
	for attempt := 0; err != nil && cold && attempt < listenAttempts; attempt++ {
		time.Sleep(listenRetryDelay)
		listener, err = net.Listen("tcp", e.addr)
	}
	return listener, err
}

// reset drops the state of the last incarnation. Term, epoch and role survive it. The caller holds the lock.
func (e *Engine) reset(cold bool) {
	e.overloaded, e.coldSince = false, time.Time{}
	if cold {
		e.coldSince = time.Now()
	}
	e.occupancy, e.work, e.recentAttempts = occupancy{}, workCounters{}, nil
	e.prefixes, e.reservations = newPrefixCache(), newReservationTable()
	e.role.loading, e.role.draining = false, false
	// If it crashed while it loaded for its next role, it starts in that one.
	if e.role.serving != e.role.reported && !e.faults.FalseRole {
		e.serveAs(e.role.reported)
	}
	e.slots = make(chan struct{}, e.config.Slots)
	e.incarnation.number++
	e.incarnation.ctx, e.incarnation.cancel = context.WithCancel(context.Background())
}

func (e *Engine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engineapi.ChatPath, e.serveChat)
	mux.HandleFunc("GET "+engineapi.LoadPath, e.serveLoad)
	mux.HandleFunc("POST "+engineapi.ReleasePath, e.serveRelease)
	mux.HandleFunc("POST "+fetchPath, e.serveFetch)
	mux.HandleFunc("POST "+planapi.RolePath, e.serveRole)
	mux.HandleFunc("POST "+faultsPath, e.serveFaults)
	return mux
}

// Crash ends its incarnation: all state is lost and every connection is reset.
func (e *Engine) Crash() {
	e.mu.Lock()
	if !e.running {
		e.mu.Unlock()
		return
	}
	e.running = false
	server, cancel := e.server, e.incarnation.cancel
	e.record(audit.EngineRecord{Event: audit.Crashed})
	e.mu.Unlock()
	cancel()
	server.Close()
}

// Restart crashes it, if it runs, and starts it cold.
func (e *Engine) Restart() error {
	e.Crash()
	return e.listen(true)
}

// Stop ends it for good.
func (e *Engine) Stop() { e.Crash() }

// ifCurrent runs an update with the lock held, if the incarnation has not ended by a restart.
func (e *Engine) ifCurrent(incarnation context.Context, update func()) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.incarnation.ctx != incarnation {
		return false
	}
	update()
	return true
}
