// Package replay replays a path of the model checker on a real edge with sockets, together with scripted engines, a client for
// each request, and an endpoint list, all of which act as in the path.
package replay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"sandcourse/internal/audit"
	"sandcourse/internal/config"
	"sandcourse/internal/edge"
	"sandcourse/internal/endpoint"
	"sandcourse/internal/loadgen"
	"sandcourse/internal/modelcheck"
)

// Errors for a world or a path that cannot be replayed on sockets.
var (
	ErrUnsupportedWorld  = errors.New("replay on sockets requires exactly one prefill engine and one decode engine")
	ErrUnsupportedAction = errors.New("event cannot be replayed on sockets")
)

const (
	replayTimeout  = 10 * time.Second
	requestTimeout = 2 * time.Second       // time for an expected request of the edge to arrive
	clientsTimeout = 2 * time.Second       // time for clients to receive their responses after the last step
	listDelay      = 20 * time.Millisecond // time for the edge to receive the first endpoint list
	stepDelay      = 3 * time.Millisecond  // time for the edge and the clients to read the bytes written in a step
	maxTokens      = 5
)

// endpointUpdates is a source of endpoint lists, which are sent on a channel.
type endpointUpdates chan endpoint.List

// Run passes the endpoint lists to update until the context is canceled.
func (u endpointUpdates) Run(ctx context.Context, update func(endpoint.List), _ func(error)) {
	for {
		select {
		case <-ctx.Done():
			return
		case list := <-u:
			update(list)
		}
	}
}

// replayer replays one path.
type replayer struct {
	world      modelcheck.World
	deployment *config.Deployment
	engines    *scriptedEngines
	edge       *edge.Edge
	updates    endpointUpdates
	endpoints  endpoint.List
	client     *loadgen.Client
	clients    sync.WaitGroup
	records    []audit.ClientRecord
	disconnect []context.CancelFunc // functions that disconnect each client, by its number
}

// Play replays a path on a real edge and returns the record of each client and its outcome in the model checker (empty if the
// client still waits). The world must have exactly one engine of each role: with more, routing depends on the names of the
// engines, which differ on sockets. The error is ErrUnsupportedWorld, ErrUnsupportedAction, modelcheck.ErrPathMismatch or a
// network error.
func Play(w modelcheck.World, path modelcheck.Path) (records []audit.ClientRecord, outcomes []string, err error) {
	if w.PrefillEngines != 1 || w.DecodeEngines != 1 {
		return nil, nil, fmt.Errorf("world %s has %d prefill and %d decode engines: %w", w.Name, w.PrefillEngines, w.DecodeEngines, ErrUnsupportedWorld)
	}
	steps, outcomes, err := modelcheck.TraceSteps(w, path)
	if err != nil {
		return nil, nil, err
	}
	p := &replayer{world: w, deployment: w.Deployment(), engines: newScriptedEngines(), updates: make(endpointUpdates, 100),
		client: loadgen.NewClient(), records: make([]audit.ClientRecord, len(w.Effects)),
		disconnect: make([]context.CancelFunc, len(w.Effects))}
	defer p.client.Close()
	stop, err := p.start()
	defer stop()
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), replayTimeout)
	defer cancel()
	elapsed := time.Duration(0)
	for _, step := range steps {
		time.Sleep(step.At - elapsed)
		elapsed = step.At
		if err := p.performEvent(ctx, step.Event); err != nil {
			return nil, nil, fmt.Errorf("step %q: %w", step.Name, err)
		}
		time.Sleep(stepDelay)
	}
	p.awaitClients(cancel)
	return p.records, outcomes, nil
}

// start starts the engines and the edge, and waits until the edge has received the first endpoint list. Stop stops them;
// it is never nil.
func (p *replayer) start() (stop func(), err error) {
	var stopFuncs []func()
	stop = func() {
		for _, f := range slices.Backward(stopFuncs) {
			f()
		}
	}
	p.endpoints.Revision = 1
	for i, name := range p.world.EngineNames() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return stop, err
		}
		stopFuncs = append(stopFuncs, func() { l.Close() })
		go p.engines.acceptConnections(l, name)
		p.endpoints.Entries = append(p.endpoints.Entries, endpoint.Entry{ID: l.Addr().String(), Kind: p.deployment.Kinds[i].Name, Weight: 1,
			State: endpoint.Ready})
	}
	p.deployment.ChatAddress = "127.0.0.1:0"
	p.edge = edge.New(p.deployment, zap.NewNop(), p.updates, 1)
	if err := p.edge.Start(); err != nil {
		return stop, err
	}
	stopFuncs = append(stopFuncs, func() { p.edge.Stop() })
	p.updates <- p.endpoints
	time.Sleep(listDelay)
	return stop, nil
}

// performEvent performs one event of a path.
func (p *replayer) performEvent(ctx context.Context, e modelcheck.Event) error {
	switch e.Action {
	case modelcheck.SendRequest, modelcheck.RepeatRequest:
		p.sendRequest(ctx, e.Client)
		return nil
	case modelcheck.DisconnectClient:
		p.disconnect[e.Client]()
		return nil
	case modelcheck.DrainEngine:
		p.updateEngine(e.Engine, func(entry *endpoint.Entry) { entry.State = endpoint.Draining })
		return nil
	case modelcheck.RestartEngine:
		p.engines.resetAll(e.Engine)
		p.updateEngine(e.Engine, func(entry *endpoint.Entry) { entry.StartedAtMs = time.Now().UnixMilli() })
		return nil
	case modelcheck.TimePasses, modelcheck.EstablishConnection, modelcheck.DeliverUnreadBytes:
		return nil // The event happens without an action, as the sockets and the clock are real.
	}
	respond, ok := responses[e.Action]
	if !ok {
		return ErrUnsupportedAction
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	r, err := p.engines.awaitRequest(ctx, e.Request, e.Engine)
	if err != nil {
		return err
	}
	respond(p.engines, r)
	return nil
}

// sendRequest starts a client that sends one request.
func (p *replayer) sendRequest(ctx context.Context, number int) {
	ctx, p.disconnect[number] = context.WithCancel(ctx)
	p.clients.Go(func() {
		record, _ := p.client.Do(ctx, p.edge.Addr(), loadgen.Request{Route: string(p.world.Effects[number]), RequestID: fmt.Sprint("p", number),
			Timeout: p.deployment.Routes[0].Timeout, MaxTokens: maxTokens, Messages: []loadgen.Message{{Role: "user", Content: "x"}}})
		if ctx.Err() != nil && record.Outcome == audit.OutcomeLost {
			record.Outcome = audit.OutcomeAbandoned
		}
		p.records[number] = record
	})
}

// updateEngine publishes the next revision of the endpoint list, with one entry changed.
func (p *replayer) updateEngine(engine string, change func(*endpoint.Entry)) {
	p.endpoints.Revision++
	p.endpoints.Entries = slices.Clone(p.endpoints.Entries)
	change(&p.endpoints.Entries[slices.Index(p.world.EngineNames(), engine)])
	p.updates <- p.endpoints
}

// awaitClients waits until all clients have ended. A path may end before its clients; those are canceled after a timeout.
func (p *replayer) awaitClients(cancel context.CancelFunc) {
	ended := make(chan struct{})
	go func() { p.clients.Wait(); close(ended) }()
	select {
	case <-ended:
	case <-time.After(clientsTimeout):
		cancel()
		<-ended
	}
}
