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

// instanceState is the lifecycle state of an instance in discovery, with the values of the wire format.
type instanceState string

const (
	instanceServing  instanceState = "SERVING"
	instanceDraining instanceState = "DRAINING"
	instanceDeleted  instanceState = "DELETED"
)

const (
	// watchCheckInterval is how often agents check for watches that have timed out.
	watchCheckInterval = 50 * time.Millisecond
	// agentOverlap is how long an agent that has moved still serves at its previous address.
	agentOverlap = 1500 * time.Millisecond
	// slowListChunks is the number of chunks into which a slow agent splits a list.
	slowListChunks = 10
)

// instance is one engine in discovery.
type instance struct {
	id, kind        string
	state           instanceState
	startedAtMillis int64    // start time in Unix milliseconds
	hosts           []string // address of the engine's proxy for each group of edges
	generation      int64    // generation of the last change of the instance
}

// discovery is a fake discovery service with one agent for each group of edges.
type discovery struct {
	mu         sync.Mutex
	updated    *sync.Cond
	generation int64
	instances  []*instance
	agents     []*discoveryAgent
}

// discoveryAgent serves the endpoint list to one group of edges. An agent may be unresponsive or slow, and may move to another
// address.
type discoveryAgent struct {
	discovery    *discovery
	group        int
	server       *http.Server
	addr         string
	unresponsive bool
	chunkDelay   time.Duration // delay after each chunk of a list; 0 to send the list at once
}

// newDiscovery returns a discovery service with a running agent for each group.
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
	go d.wakeWatchesPeriodically()
	return d, nil
}

// wakeWatchesPeriodically wakes all watches at intervals, so that those that have timed out return.
func (d *discovery) wakeWatchesPeriodically() {
	for range time.Tick(watchCheckInterval) {
		d.mu.Lock()
		d.updated.Broadcast()
		d.mu.Unlock()
	}
}

// listen starts to serve at a new address.
func (a *discoveryAgent) listen() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", a.serveList)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	a.server, a.addr = server, listener.Addr().String()
	go func() { _ = server.Serve(listener) }() // Serve always returns an error once the server is closed.
	return nil
}

// agentAddr returns the address of a group's agent.
func (d *discovery) agentAddr(group int) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.agents[group].addr
}

// moveAgent moves the agent of a group to another address. The previous address remains available for agentOverlap.
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

// update adds an instance or replaces the instance with the same ID.
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

// wireInstance is the wire format of an instance.
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
	Reset      bool           `json:"reset"` // the list is complete, not only the changes
	Instances  []wireInstance `json:"instances"`
}

// encodeList encodes the response for an edge of a group: the changes since a generation, or the complete list for generation
// 0. The caller holds mu.
func (d *discovery) encodeList(group int, since int64) []byte {
	out := wireList{Generation: d.generation, Reset: since == 0, Instances: []wireInstance{}}
	for _, i := range d.instances {
		if i.generation > since && (since > 0 || i.state != instanceDeleted) {
			out.Instances = append(out.Instances, wireInstance{ID: i.id, Host: i.hosts[group], Zone: "a", Kind: i.kind, State: i.state,
				Weight: 1, Started: i.startedAtMillis})
		}
	}
	data, err := json.Marshal(out)
	if err != nil {
		panic(err) // Encoding cannot fail, as the list holds only numbers, booleans and strings.
	}
	return data
}

// snapshot returns the complete list for the configuration of a starting edge.
func (d *discovery) snapshot(group int) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.encodeList(group, 0)
}

// serveList responds to a watch: at once if the list has changed since the generation in the request, otherwise when the list
// changes or the wait time of the request has passed.
func (a *discoveryAgent) serveList(w http.ResponseWriter, r *http.Request) {
	known, _ := strconv.ParseInt(r.URL.Query().Get("index"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	d := a.discovery
	d.mu.Lock()
	for r.Context().Err() == nil && (a.unresponsive || known > 0 && d.generation <= known && time.Now().Before(end)) {
		d.updated.Wait()
	}
	list, delay := d.encodeList(a.group, known), a.chunkDelay
	d.mu.Unlock()
	if delay == 0 {
		w.Write(list)
		return
	}
	for chunk := range slices.Chunk(list, 1+len(list)/slowListChunks) {
		w.Write(chunk)
		w.(http.Flusher).Flush()
		time.Sleep(delay)
	}
}
