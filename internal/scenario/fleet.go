// Package badday runs scripted days: stand-in engines, several edges, traffic and troubles in one process on
// loopback sockets, judged by the auditor.
package scenario

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"sandcourse/internal/audit"
	"sandcourse/internal/config"
	"sandcourse/internal/edge"
	"sandcourse/internal/endpoint"
	"sandcourse/internal/fake/engine"
	"sandcourse/internal/router"
)

// Fleet is stand-in engines with the roster file that names them.
type Fleet struct {
	Log     *audit.Log
	Engines []*engine.Engine
	Path    string

	mu        sync.Mutex
	endpoints endpoint.List
	listDelay time.Duration // how late changes are published
	delayed   sync.WaitGroup
}

// StartFleet starts engines and writes the first list into dir. Every five engines make a cell; they keep their
// role's mix.
func StartFleet(dir string, makes []engine.Config, log *audit.Log) (*Fleet, error) {
	f := &Fleet{Log: log, Path: filepath.Join(dir, "roster.json")}
	marks := &engine.IdempotencyKeys{}
	for i, m := range makes {
		e, err := engine.Start(m, log, marks)
		if err != nil {
			f.Stop()
			return nil, err
		}
		f.Engines = append(f.Engines, e)
		kind := map[string]string{"read": "prefill", "write": "decode"}[m.Role]
		f.endpoints.Entries = append(f.endpoints.Entries, endpoint.Entry{ID: e.Addr(), Kind: kind, Weight: 1,
			Cell: fmt.Sprint("c", i%max(1, len(makes)/5)), State: endpoint.Ready})
	}
	f.endpoints.Revision = 1
	return f, endpoint.WriteFile(f.Path, f.endpoints)
}

// Stop ends all engines.
func (f *Fleet) Stop() {
	f.delayed.Wait()
	for _, e := range f.Engines {
		e.Stop()
	}
}

// updateList alters entries and publishes the list, late if discovery is.
func (f *Fleet) updateList(alter func(list *endpoint.List)) {
	f.mu.Lock()
	alter(&f.endpoints)
	f.endpoints.Revision++
	late := f.listDelay
	f.mu.Unlock()
	if late == 0 {
		f.publish()
		return
	}
	f.delayed.Go(func() { time.Sleep(late); f.publish() })
}

func (f *Fleet) publish() {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.endpoints
	list.Entries = slices.Clone(list.Entries)
	if err := endpoint.WriteFile(f.Path, list); err != nil {
		fmt.Fprintln(os.Stderr, "badday: roster:", err)
		return
	}
	at, listed := time.Now(), map[string]bool{}
	for _, e := range list.Entries {
		listed[e.ID] = true
		f.Log.RecordReadiness(audit.ReadinessChange{At: at, Engine: e.ID, Ready: e.State == endpoint.Ready})
	}
	for _, e := range f.Engines {
		if !listed[e.Addr()] {
			f.Log.RecordReadiness(audit.ReadinessChange{At: at, Engine: e.Addr(), Ready: false})
		}
	}
}

// DelayList makes what is published from now on late.
func (f *Fleet) DelayList(late time.Duration) { f.mu.Lock(); f.listDelay = late; f.mu.Unlock() }

// Drain lists an engine as draining, or as ready again.
func (f *Fleet) Drain(e *engine.Engine, on bool) {
	f.updateList(func(list *endpoint.List) {
		for i := range list.Entries {
			if list.Entries[i].ID == e.Addr() {
				list.Entries[i].State = map[bool]string{true: endpoint.Draining, false: endpoint.Ready}[on]
			}
		}
	})
}

// Remove takes an engine off the list; Back puts it there again as just started.
func (f *Fleet) Remove(e *engine.Engine) {
	f.updateList(func(list *endpoint.List) {
		list.Entries = slices.DeleteFunc(list.Entries, func(o endpoint.Entry) bool { return o.ID == e.Addr() })
	})
}

// Restore lists an engine as ready and just started.
func (f *Fleet) Restore(e *engine.Engine) {
	kind := map[string]string{"read": "prefill", "write": "decode"}[e.Role()]
	f.updateList(func(list *endpoint.List) {
		entry := endpoint.Entry{ID: e.Addr(), Kind: kind, Weight: 1, Cell: "c0", State: endpoint.Ready,
			StartedAtMs: time.Now().UnixMilli()}
		for i, o := range list.Entries {
			if o.ID == e.Addr() {
				entry.Cell = o.Cell
				list.Entries[i] = entry
				return
			}
		}
		list.Entries = append(list.Entries, entry)
	})
}

// Edges are nodes in this process. Each keeps its address over restarts.
type Edges struct {
	mu      sync.Mutex
	nodes   []*edge.Edge
	base    config.Deployment
	log     *zap.Logger
	addrs   []string
	records *audit.Log
	seed    uint64
}

// StartEdges starts n edges on a fleet.
func StartEdges(n int, base config.Deployment, log *zap.Logger, seen *audit.Log, seed uint64) (*Edges, error) {
	es := &Edges{base: base, log: log, records: seen, seed: seed, nodes: make([]*edge.Edge, n), addrs: make([]string, n)}
	for i := range n {
		es.addrs[i] = "127.0.0.1:0"
		if base.ChatAddress != "" && n == 1 {
			es.addrs[i] = base.ChatAddress
		}
		if err := es.start(i); err != nil {
			es.Stop()
			return nil, err
		}
	}
	return es, nil
}

func (es *Edges) start(i int) error {
	d := es.base
	d.NodeName, d.NodeNumber, d.NodeCount, d.ChatAddress = fmt.Sprint("edge", i), i, len(es.nodes), es.addrs[i]
	n := edge.New(&d, es.log, nil, es.seed+uint64(i))
	// A port that was free for a while may be some other connection's for a moment.
	for try := 0; ; try++ {
		err := n.Start()
		if err == nil {
			break
		}
		if try == 100 {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
	es.mu.Lock()
	defer es.mu.Unlock()
	es.nodes[i], es.addrs[i] = n, n.Addr()
	return nil
}

// Addrs are those of all edges, up or down: a plain front goes on sending to a dead one for a while.
func (es *Edges) Addrs() []string { es.mu.Lock(); defer es.mu.Unlock(); return slices.Clone(es.addrs) }

// Kill ends an edge at once and starts it again after a time. Its clients' calls of that time are its loss.
func (es *Edges) Kill(i int, down time.Duration) error {
	es.mu.Lock()
	n := es.nodes[i]
	es.nodes[i] = nil
	es.mu.Unlock()
	if n == nil {
		return nil // it is down already
	}
	from := time.Now()
	n.Stop()
	time.Sleep(down)
	err := es.start(i)
	es.records.RecordOutage(audit.Outage{Edge: es.addrs[i], From: from, To: time.Now()})
	es.records.RecordOutage(audit.Outage{Edge: fmt.Sprint("edge", i), From: from, To: time.Now()})
	return err
}

// Node is one edge; nil while it is down.
func (es *Edges) Node(i int) *edge.Edge { es.mu.Lock(); defer es.mu.Unlock(); return es.nodes[i] }

// Drain stops an edge as a signal does: it finishes what is open, within its bound.
func (es *Edges) Drain(i int) error {
	es.mu.Lock()
	n := es.nodes[i]
	es.nodes[i] = nil
	es.mu.Unlock()
	if n == nil {
		return nil
	}
	return n.Drain(context.Background())
}

// Holding adds up what all edges hold.
func (es *Edges) Holding(ctx context.Context) (sum router.InFlight) {
	es.mu.Lock()
	nodes := slices.Clone(es.nodes)
	es.mu.Unlock()
	for _, n := range nodes {
		if n != nil {
			h, _ := n.Usage(ctx)
			sum.Clients += h.Clients
			sum.Requests += h.Requests
			sum.Bytes += h.Bytes
			sum.EngineConnections += h.EngineConnections
			sum.ControlRequests += h.ControlRequests
		}
	}
	return sum
}

// Stop ends all edges.
func (es *Edges) Stop() {
	es.mu.Lock()
	defer es.mu.Unlock()
	for i, n := range es.nodes {
		if n != nil {
			n.Stop()
			es.nodes[i] = nil
		}
	}
}
