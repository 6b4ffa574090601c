package standin

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Agent is a stand-in for the agent of discovery on the node's machine. It is correct, and may be slow: each answer then begins
// late.
type Agent struct {
	Address string

	record *Record
	server *http.Server

	mu         sync.Mutex
	generation int
	entries    []string
	changes    []string      // entries of the last change, which replace the first ones of the list
	changed    chan struct{} // closed at the change
	delay      time.Duration
}

// StartAgent starts an agent with a list.
func StartAgent(record *Record, entries []string) (*Agent, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &Agent{Address: listener.Addr().String(), record: record, generation: 1, entries: entries, changed: make(chan struct{})}
	a.server = &http.Server{Handler: http.HandlerFunc(a.serve), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = a.server.Serve(listener) }() // Serve always returns an error once the server is closed.
	return a, nil
}

// Stop stops the agent.
func (a *Agent) Stop() { a.server.Close() }

// Snapshot returns the whole list.
func (a *Agent) Snapshot() string { return a.list(0) }

// list returns the answer to a call that knows a generation: the whole list for generation 0, else the changes since.
func (a *Agent) list(known int) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var entries []string
	switch {
	case known == 0:
		entries = append(append(entries, a.changes...), a.entries[len(a.changes):]...)
	case known < a.generation:
		entries = a.changes
	}
	return fmt.Sprintf(`{"generation":%d,"reset":%t,"instances":[%s]}`, a.generation, known == 0, strings.Join(entries, ","))
}

// Change makes the next generation, whose entries replace the first ones of the list. It may be called once.
func (a *Agent) Change(entries []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.generation++
	a.changes = entries
	close(a.changed)
}

// SetDelay sets how late answers begin.
func (a *Agent) SetDelay(delay time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.delay = delay
}

// state returns whether a generation is the current one, and how late answers begin.
func (a *Agent) state(generation int) (current bool, delay time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return generation == a.generation, a.delay
}

func (a *Agent) serve(w http.ResponseWriter, r *http.Request) {
	call := r.URL.RequestURI()
	known, _ := strconv.Atoi(r.URL.Query().Get("index")) // 0 without an index
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	a.record.Printf("discovery: call %s", call)
	if current, _ := a.state(known); current {
		select {
		case <-a.changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
		}
	}
	_, delay := a.state(known)
	select {
	case <-time.After(delay):
		list := a.list(known)
		a.record.Printf("discovery: answer to %s: %.40s...", call, list)
		fmt.Fprint(w, list)
	case <-r.Context().Done():
		a.record.Printf("discovery: the node gave up %s", call)
	}
}
