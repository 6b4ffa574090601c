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
	// fetchPath is the path at which a decode engine fetches a reservation from a prefill engine. It is not part of the protocol
	// with routers.
	fetchPath = "/sandcourse/fetch"
	// faultsPath is the path at which tests set the faults of an engine in another process.
	faultsPath = "/admin/faults"

	readHeaderTimeout = 10 * time.Second

	listenAttempts   = 100
	listenRetryDelay = 20 * time.Millisecond
)

// incarnation is the life of an engine from a start to a crash. A request may change only the state of the incarnation in
// which it began.
type incarnation struct {
	number int64
	ctx    context.Context // context that the crash cancels
	cancel context.CancelFunc
}

// startIncarnation resets the engine's state and starts serving requests.
func (e *Engine) startIncarnation(cold bool) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	listener, err := e.openListener(cold)
	if err != nil {
		return fmt.Errorf("fake engine %s: %w", e.config.Name, err)
	}
	e.addr, e.running = listener.Addr().String(), true
	e.resetState(cold)
	server := &http.Server{Handler: e.handler(), ReadHeaderTimeout: readHeaderTimeout}
	e.server = server
	go func() { _ = server.Serve(listener) }() // Serve ends with http.ErrServerClosed.
	go e.expireReservations(e.incarnation.ctx)
	e.record(audit.EngineRecord{Event: audit.Started})
	return nil
}

// openListener listens on the engine's address. It retries after a crash, because an outgoing connection may briefly occupy the
// port.
func (e *Engine) openListener(cold bool) (net.Listener, error) {
	listener, err := net.Listen("tcp", e.addr)
	for attempt := 0; err != nil && cold && attempt < listenAttempts; attempt++ {
		time.Sleep(listenRetryDelay)
		listener, err = net.Listen("tcp", e.addr)
	}
	return listener, err
}

// resetState drops the state of the previous incarnation except term, epoch and role. The caller holds the lock.
func (e *Engine) resetState(cold bool) {
	e.overloaded, e.coldSince = false, time.Time{}
	if cold {
		e.coldSince = time.Now()
	}
	e.occupancy, e.work, e.recentAttempts = occupancy{}, workCounters{}, nil
	e.prefixes, e.reservations = newPrefixCache(), newReservationTable()
	e.role.loading, e.role.draining = false, false
	// An engine that crashed during a role change restarts in the new role.
	if e.role.serving != e.role.reported && !e.faults.FalseRole {
		e.switchRole(e.role.reported)
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

// Crash ends the incarnation: all state is lost and all connections are closed.
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

// Restart crashes the engine if it is running, and starts it cold.
func (e *Engine) Restart() error {
	e.Crash()
	return e.startIncarnation(true)
}

// Stop stops the engine at the end of a test.
func (e *Engine) Stop() { e.Crash() }

// updateIfCurrent runs an update with the lock held and returns true. If a later incarnation has started, it only returns false.
func (e *Engine) updateIfCurrent(incarnation context.Context, update func()) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.incarnation.ctx != incarnation {
		return false
	}
	update()
	return true
}
