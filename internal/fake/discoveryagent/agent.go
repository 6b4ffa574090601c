// Package discoveryagent implements a fake of the operators' discovery agent on a loopback socket. Tests update its endpoint
// list.
package discoveryagent

import (
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const readHeaderTimeout = 10 * time.Second

// Agent serves an endpoint list and its changes.
type Agent struct {
	Address string

	server     *http.Server
	mu         sync.Mutex
	generation int
	entries    map[string]entry // entries by instance ID
	updated    chan struct{}    // channel that is closed and replaced at the next change
}

// entry is an instance in the list.
type entry struct {
	text       string // JSON of the instance
	generation int    // generation of the last change of the instance
}

// Start starts an agent with an empty list.
func Start() (*Agent, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("fake discovery agent: %w", err)
	}
	a := &Agent{Address: listener.Addr().String(), entries: map[string]entry{}, updated: make(chan struct{})}
	a.server = &http.Server{Handler: http.HandlerFunc(a.serveList), ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = a.server.Serve(listener) }() // Serve ends with http.ErrServerClosed.
	return a, nil
}

// Stop stops the agent and closes its connections.
func (a *Agent) Stop() { a.server.Close() }

// Update adds or replaces instances. The map holds the JSON of each instance by ID.
func (a *Agent) Update(instances map[string]string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.generation++
	for id, text := range instances {
		a.entries[id] = entry{text, a.generation}
	}
	close(a.updated)
	a.updated = make(chan struct{})
}

// Snapshot returns the complete list as JSON.
func (a *Agent) Snapshot() string {
	text, _, _ := a.listSince(0)
	return text
}

// listSince returns the response for a watch from a known generation, whether the list has changed since, and a channel that is
// closed at the next change. For generation 0 the response is the complete list, which counts as a change.
func (a *Agent) listSince(knownGeneration int) (text string, changed bool, updated <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var instances []string
	for _, id := range slices.Sorted(maps.Keys(a.entries)) {
		if entry := a.entries[id]; entry.generation > knownGeneration {
			instances = append(instances, entry.text)
		}
	}
	text = fmt.Sprintf(`{"generation":%d,"reset":%t,"instances":[%s]}`, a.generation, knownGeneration == 0, strings.Join(instances, ","))
	return text, knownGeneration == 0 || a.generation > knownGeneration, a.updated
}

// serveList responds to a request for the complete list at once, and to a watch when the list changes or the wait time has passed.
func (a *Agent) serveList(w http.ResponseWriter, r *http.Request) {
	knownGeneration, _ := strconv.Atoi(r.URL.Query().Get("index"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for timedOut := false; ; {
		text, changed, updated := a.listSince(knownGeneration)
		if changed || timedOut {
			fmt.Fprint(w, text)
			return
		}
		select {
		case <-updated:
		case <-timeout:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}
