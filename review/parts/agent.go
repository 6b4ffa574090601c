package parts

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Member is an entry of discovery's list.
type Member struct {
	ID        string      `json:"instanceId"`
	Address   string      `json:"hostPort"`
	Zone      string      `json:"zone"`
	Kind      string      `json:"machineType"`
	Cell      int         `json:"cell"`
	Lifecycle string      `json:"lifecycle"`
	Weight    json.Number `json:"weight"`
	StartedAt int64       `json:"startedAtMs"`
}

// Agent is a sound discovery agent.
type Agent struct {
	Address string
	// Delay returns how long the answer to a call that comes now is held up. Nil stands for no delay.
	Delay func() time.Duration

	record     *Record
	server     *http.Server
	mu         sync.Mutex
	generation int
	members    map[string]Member
	changedIn  map[string]int
	order      []string
	changed    chan struct{}
}

// NewAgent returns an agent whose list has the given version. Start starts it.
func NewAgent(record *Record, generation int, members ...Member) (*Agent, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &Agent{Address: listener.Addr().String(), record: record, generation: generation, members: map[string]Member{},
		changedIn: map[string]int{}, changed: make(chan struct{})}
	for _, m := range members {
		a.members[m.ID], a.changedIn[m.ID] = m, generation
		a.order = append(a.order, m.ID)
	}
	a.server = &http.Server{Handler: http.HandlerFunc(a.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = a.server.Serve(listener) }() // Serve ends with http.ErrServerClosed.
	return a, nil
}

// Stop stops the agent.
func (a *Agent) Stop() { a.server.Close() }

// Set changes an entry.
func (a *Agent) Set(m Member) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.generation++
	if _, known := a.members[m.ID]; !known {
		a.order = append(a.order, m.ID)
	}
	a.members[m.ID], a.changedIn[m.ID] = m, a.generation
	close(a.changed)
	a.changed = make(chan struct{})
	a.record.Add("discovery: %s is %s from version %d on", m.ID, m.Lifecycle, a.generation)
}

// List returns the whole list in discovery's form.
func (a *Agent) List() string {
	text, _, _ := a.since(-1)
	return text
}

func (a *Agent) since(known int) (text string, hasChanges bool, changed <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	instances := []Member{}
	for _, id := range a.order {
		if m := a.members[id]; a.changedIn[id] > known && (known >= 0 || m.Lifecycle != "DELETED") {
			instances = append(instances, m)
		}
	}
	list, _ := json.Marshal(instances) // All values can be represented in JSON.
	text = fmt.Sprintf(`{"generation":%d,"reset":%t,"instances":%s}`, a.generation, known < 0, list)
	return text, known < 0 || a.generation > known, a.changed
}

func (a *Agent) serve(w http.ResponseWriter, r *http.Request) {
	known := -1
	if index := r.URL.Query().Get("index"); index != "" {
		known, _ = strconv.Atoi(index)
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	waited := time.After(time.Duration(wait) * time.Millisecond)
	if a.Delay != nil {
		select {
		case <-time.After(a.Delay()):
		case <-r.Context().Done():
			a.record.Add("discovery: the node gave up the call %q", r.URL.RequestURI())
			return
		}
	}
	for ended := false; ; {
		text, hasChanges, changed := a.since(known)
		if hasChanges || ended {
			fmt.Fprint(w, text)
			if hasChanges {
				a.record.Add("discovery: answered %q with %s", r.URL.RequestURI(), text)
			}
			return
		}
		select {
		case <-changed:
		case <-waited:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}
