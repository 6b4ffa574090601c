package soak

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// The states of an instance in discovery.
const (
	serving  = "SERVING"
	draining = "DRAINING"
	deleted  = "DELETED"
)

// instance is one engine as discovery lists it. Hosts has its address for each group of nodes.
type instance struct {
	id, kind, state string
	started         int64 // Unix milliseconds
	hosts           []string
	changed         int64 // the generation of its last change
}

// discovery is the state of discovery, and the agents that tell it, one for each group of nodes.
type discovery struct {
	mu         sync.Mutex
	changed    *sync.Cond
	generation int64
	instances  []*instance
	agents     []*discoveryAgent
}

// discoveryAgent tells one group of nodes. It may be silent, and it may move to another address.
type discoveryAgent struct {
	discovery *discovery
	group     int
	server    *http.Server
	addr      string
	silent    bool
	pause     time.Duration // between two pieces of a whole list; 0 for at once
	calls     int
}

func newDiscovery(groups int) (*discovery, error) {
	d := &discovery{generation: 1}
	d.changed = sync.NewCond(&d.mu)
	for g := range groups {
		a := &discoveryAgent{discovery: d, group: g}
		d.agents = append(d.agents, a)
		if err := a.listen(); err != nil {
			return nil, err
		}
	}
	go d.tick()
	return d, nil
}

// tick wakes watches whose time is over.
func (d *discovery) tick() {
	for range time.Tick(50 * time.Millisecond) {
		d.mu.Lock()
		d.changed.Broadcast()
		d.mu.Unlock()
	}
}

func (a *discoveryAgent) listen() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", a.serve)
	a.server, a.addr = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}, listener.Addr().String()
	go a.server.Serve(listener)
	return nil
}

// oldAgentTime is how long an agent that has moved leaves its open connections.
const oldAgentTime = 1500 * time.Millisecond

// moveAgent gives the agent of a group another address, and returns it.
func (d *discovery) moveAgent(group int) (string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.agents[group]
	old := a.server
	time.AfterFunc(oldAgentTime, func() { old.Close() })
	if err := a.listen(); err != nil {
		return "", err
	}
	return a.addr, nil
}

func (d *discovery) setSilent(group int, silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.agents[group].silent = silent
	d.changed.Broadcast()
}

func (d *discovery) setSlow(group int, pause time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.agents[group].pause = pause
}

// put adds an instance, or changes the state of one.
func (d *discovery) put(i *instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	i.changed = d.generation
	if at := slices.IndexFunc(d.instances, func(o *instance) bool { return o.id == i.id }); at >= 0 {
		d.instances[at] = i
	} else {
		d.instances = append(d.instances, i)
	}
	d.changed.Broadcast()
}

type wireInstance struct {
	ID      string  `json:"instanceId"`
	Host    string  `json:"hostPort"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"machineType"`
	Cell    int     `json:"cell"`
	State   string  `json:"lifecycle"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"startedAtMs"`
}

type wireList struct {
	Generation int64          `json:"generation"`
	Whole      bool           `json:"reset"`
	Instances  []wireInstance `json:"instances"`
}

// list is what a group is told that knows a generation; 0 for the whole list. The caller holds mu.
func (d *discovery) list(group int, since int64) []byte {
	out := wireList{Generation: d.generation, Whole: since == 0, Instances: []wireInstance{}}
	for _, i := range d.instances {
		if i.changed > since && (since > 0 || i.state != deleted) {
			out.Instances = append(out.Instances, wireInstance{ID: i.id, Host: i.hosts[group], Zone: "a", Kind: i.kind, State: i.state,
				Weight: 1, Started: i.started})
		}
	}
	data, err := json.Marshal(out)
	if err != nil {
		panic(err) // of numbers and strings
	}
	return data
}

// snapshot is the list for a node that starts.
func (d *discovery) snapshot(group int) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list(group, 0)
}

func (a *discoveryAgent) serve(w http.ResponseWriter, r *http.Request) {
	index, _ := strconv.ParseInt(r.URL.Query().Get("index"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	d := a.discovery
	d.mu.Lock()
	a.calls++
	for r.Context().Err() == nil && (a.silent || index > 0 && d.generation <= index && time.Now().Before(end)) {
		d.changed.Wait()
	}
	answer, pause := d.list(a.group, index), a.pause
	d.mu.Unlock()
	if pause == 0 {
		w.Write(answer)
		return
	}
	for piece := range slices.Chunk(answer, 1+len(answer)/10) {
		w.Write(piece)
		w.(http.Flusher).Flush()
		time.Sleep(pause)
	}
}
