package scenario

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"sandcourse/internal/audit"
	"sandcourse/internal/config"
	"sandcourse/internal/edge"
	"sandcourse/internal/router"
)

// Edges is a set of edges in this process. Each edge keeps its address when it restarts.
type Edges struct {
	mu      sync.Mutex
	edges   []*edge.Edge
	base    config.Deployment
	log     *zap.Logger
	addrs   []string
	records *audit.Log
	seed    uint64
}

// StartEdges starts n edges that share the base configuration.
func StartEdges(n int, base config.Deployment, log *zap.Logger, records *audit.Log, seed uint64) (*Edges, error) {
	es := &Edges{base: base, log: log, records: records, seed: seed, edges: make([]*edge.Edge, n), addrs: make([]string, n)}
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

var errNotReady = fmt.Errorf("edges are not ready after %v", readyPolls*readyPollInterval)

const (
	readyPolls          = 200
	readyPollInterval   = 20 * time.Millisecond
	releasePolls        = 60
	releasePollInterval = 50 * time.Millisecond
	maxStartAttempts    = 100
	startRetryInterval  = 50 * time.Millisecond
)

func (es *Edges) start(i int) error {
	d := es.base
	d.NodeName, d.NodeNumber, d.NodeCount, d.ChatAddress = fmt.Sprint("edge", i), i, len(es.edges), es.addrs[i]
	e := edge.New(&d, es.log, nil, es.seed+uint64(i))
	// While the edge was down, the kernel may have assigned its port to another connection for a moment.
	for attempt := 1; ; attempt++ {
		err := e.Start()
		if err == nil {
			break
		}
		if attempt > maxStartAttempts {
			return err
		}
		time.Sleep(startRetryInterval)
	}
	es.mu.Lock()
	defer es.mu.Unlock()
	es.edges[i], es.addrs[i] = e, e.Addr()
	return nil
}

// Addrs returns the addresses of all edges, up or down: a simple load balancer sends to a dead edge for a while.
func (es *Edges) Addrs() []string {
	es.mu.Lock()
	defer es.mu.Unlock()
	return slices.Clone(es.addrs)
}

// Kill stops an edge without a drain and restarts it after a downtime. Open requests and requests sent to the edge during the
// downtime are lost.
func (es *Edges) Kill(i int, downtime time.Duration) error {
	es.mu.Lock()
	e := es.edges[i]
	es.edges[i] = nil
	es.mu.Unlock()
	if e == nil {
		return nil // The edge is already down.
	}
	killedAt := time.Now()
	e.Stop()
	time.Sleep(downtime)
	err := es.start(i)
	es.records.RecordOutage(audit.Outage{Edge: es.addrs[i], From: killedAt, To: time.Now()})
	es.records.RecordOutage(audit.Outage{Edge: fmt.Sprint("edge", i), From: killedAt, To: time.Now()})
	return err
}

// Edge returns the i-th edge, or nil while the edge is down.
func (es *Edges) Edge(i int) *edge.Edge {
	es.mu.Lock()
	defer es.mu.Unlock()
	return es.edges[i]
}

// Drain shuts an edge down gracefully, as SIGTERM does: open requests are finished within the drain timeout.
func (es *Edges) Drain(i int) error {
	es.mu.Lock()
	e := es.edges[i]
	es.edges[i] = nil
	es.mu.Unlock()
	if e == nil {
		return nil
	}
	return e.Drain(context.Background())
}

// InFlight returns the sum of the requests, connections and buffered bytes of all edges.
func (es *Edges) InFlight(ctx context.Context) (sum router.InFlight) {
	es.mu.Lock()
	edges := slices.Clone(es.edges)
	es.mu.Unlock()
	for _, e := range edges {
		if e != nil {
			h, _ := e.Usage(ctx)
			sum.Clients += h.Clients
			sum.Requests += h.Requests
			sum.Bytes += h.Bytes
			sum.EngineConnections += h.EngineConnections
			sum.ControlRequests += h.ControlRequests
		}
	}
	return sum
}

// awaitReady waits until every edge is ready.
func (es *Edges) awaitReady(ctx context.Context) error {
	for range readyPolls {
		if err := ctx.Err(); err != nil {
			return err
		}
		ready := true
		for _, addr := range es.Addrs() {
			ready = ready && isReady(ctx, addr)
		}
		if ready {
			return nil
		}
		time.Sleep(readyPollInterval)
	}
	return errNotReady
}

func isReady(ctx context.Context, addr string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/readyz", nil)
	if err != nil {
		return false
	}
	r.Close = true
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReleased waits until no engine holds a reservation and no edge has an open request, or until a timeout. It is called
// after all clients have finished, so both counts must drop to zero. It returns the number of reservations still held.
func awaitReleased(ctx context.Context, fleet *Fleet, edges *Edges) (held int) {
	for range releasePolls {
		held = fleet.heldReservations()
		if held == 0 && edges.InFlight(ctx).Requests == 0 {
			break
		}
		time.Sleep(releasePollInterval)
	}
	return held
}

// Stop stops all edges without a drain.
func (es *Edges) Stop() {
	es.mu.Lock()
	defer es.mu.Unlock()
	for i, e := range es.edges {
		if e != nil {
			e.Stop()
			es.edges[i] = nil
		}
	}
}
