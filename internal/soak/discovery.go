package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// instanceState is the state of an instance in discovery, as it is on the wire.
type instanceState string

const (
	serving  instanceState = "SERVING"
	draining instanceState = "DRAINING"
	deleted  instanceState = "DELETED"
)

const (
	// watchInterval is how often agents look for watches whose time is over.
	watchInterval = 50 * time.Millisecond
	// agentOverlap is how long an agent that has moved still serves its old address.
	agentOverlap = 1500 * time.Millisecond
	// slowChunks is into how many chunks a slow agent splits a list.
	slowChunks = 10
)

// instance is one engine in discovery.
type instance struct {
	id, kind   string
	state      instanceState
	started    int64    // Unix milliseconds
	hosts      []string // its address for each group of edges
	generation int64    // of its last change
}

// discovery is the state of discovery and its agents, one for each group of edges.
type discovery struct {
	mu         sync.Mutex
	updated    *sync.Cond
	generation int64
	instances  []*instance
	agents     []*discoveryAgent
}

// discoveryAgent serves the list to one group of edges. It may be unresponsive or slow, and it may move to another address.
type discoveryAgent struct {
	discovery    *discovery
	group        int
	server       *http.Server
	addr         string
	unresponsive bool
	chunkDelay   time.Duration // after each chunk of a list; 0 for a list in one piece
}

// newDiscovery starts an agent for each group.
func newDiscovery(groups int) (*discovery, error) {
	d := &discovery{generation: 1}
	d.updated = sync.NewCond(&d.mu)
	for group := range groups {
		a := &discoveryAgent{discovery: d, group: group}
		d.agents = append(d.agents, a)
		if err := a.listen(); err != nil {
			return nil, fmt.Errorf("discovery agent of group %d: %w", group, err)
		}
	}
	go d.wakeWatches()
	return d, nil
}

// wakeWatches wakes watches whose time is over.
func (d *discovery) wakeWatches() {
	for range time.Tick(watchInterval) {
		d.mu.Lock()
		d.updated.Broadcast()
		d.mu.Unlock()
	}
}

// listen starts serving at a new address.
func (a *discoveryAgent) listen() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", a.serveList)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	a.server, a.addr = server, listener.Addr().String()
	go func() { _ = server.Serve(listener) }() // returns an error in any case, once it is closed
	return nil
}

// agentAddr returns the address of a group's agent.
func (d *discovery) agentAddr(group int) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.agents[group].addr
}

// moveAgent gives the agent of a group another address.
func (d *discovery) moveAgent(group int) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.agents[group]
	old := a.server
	time.AfterFunc(agentOverlap, func() { old.Close() })
	return a.listen()
}

func (d *discovery) setUnresponsive(group int, unresponsive bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.agents[group].unresponsive = unresponsive
	d.updated.Broadcast()
}

func (d *discovery) setChunkDelay(group int, delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.agents[group].chunkDelay = delay
}

// update adds an instance, or replaces the one with its ID.
func (d *discovery) update(i *instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	i.generation = d.generation
	if at := slices.IndexFunc(d.instances, func(other *instance) bool { return other.id == i.id }); at >= 0 {
		d.instances[at] = i
	} else {
		d.instances = append(d.instances, i)
	}
	d.updated.Broadcast()
}

// wireInstance is an instance as agents send it.
type wireInstance struct {
	ID      string        `json:"instanceId"`
	Host    string        `json:"hostPort"`
	Zone    string        `json:"zone"`
	Kind    string        `json:"machineType"`
	Cell    int           `json:"cell"`
	State   instanceState `json:"lifecycle"`
	Weight  float64       `json:"weight"`
	Started int64         `json:"startedAtMs"`
}

// wireList is an agent's response.
type wireList struct {
	Generation int64          `json:"generation"`
	Reset      bool           `json:"reset"` // the list is complete, not a change
	Instances  []wireInstance `json:"instances"`
}

// list encodes what a group that knows a generation has to be sent; the complete list where it knows none. The caller holds mu.
func (d *discovery) list(group int, since int64) []byte {
	out := wireList{Generation: d.generation, Reset: since == 0, Instances: []wireInstance{}}
	for _, i := range d.instances {
		if i.generation > since && (since > 0 || i.state != deleted) {
			out.Instances = append(out.Instances, wireInstance{ID: i.id, Host: i.hosts[group], Zone: "a", Kind: i.kind, State: i.state,
				Weight: 1, Started: i.started})
		}
	}
	data, err := json.Marshal(out)
	if err != nil {
		panic(err) // can't happen: it has numbers and strings alone
	}
	return data
}

// snapshot returns the complete list for an edge that starts.
func (d *discovery) snapshot(group int) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list(group, 0)
}

// serveList responds to a watch: at once where the list has changed since the generation of the request, else when it
// changes or when the time of the request is over.
func (a *discoveryAgent) serveList(w http.ResponseWriter, r *http.Request) {
	known, _ := strconv.ParseInt(r.URL.Query().Get("index"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	d := a.discovery
	d.mu.Lock()
	for r.Context().Err() == nil && (a.unresponsive || known > 0 && d.generation <= known && time.Now().Before(end)) {
		d.updated.Wait()
	}
	list, delay := d.list(a.group, known), a.chunkDelay
	d.mu.Unlock()
	if delay == 0 {
		w.Write(list)
		return
	}
	for chunk := range slices.Chunk(list, 1+len(list)/slowChunks) {
		w.Write(chunk)
		w.(http.Flusher).Flush()
		time.Sleep(delay)
	}
}
