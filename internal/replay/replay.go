// Package replay replays a path of the model checker through a real edge on sockets: with engines that do what the path
// says and nothing else, a client for each request, and an endpoint list that changes when told.
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

// The errors of a path or world that cannot be replayed on sockets.
var (
	ErrWorld  = errors.New("a world for sockets has one prefill engine and one decode engine")
	ErrAction = errors.New("cannot be replayed on sockets")
)

const (
	replayTimeout  = 10 * time.Second
	requestTimeout = 2 * time.Second       // for a request of the edge to arrive
	clientsTimeout = 2 * time.Second       // for clients to end after the last step
	listDelay      = 20 * time.Millisecond // until the edge has the first endpoint list
	stepDelay      = 3 * time.Millisecond  // until what was written has been read
	maxTokens      = 5
)

// endpointUpdates is a source of endpoint lists, which passes them on as they are sent.
type endpointUpdates chan endpoint.List

// Run passes lists on until the context ends.
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

// player replays one path.
type player struct {
	world      modelcheck.World
	deployment *config.Deployment
	engines    *scriptedEngines
	node       *edge.Edge
	updates    endpointUpdates
	list       endpoint.List
	client     *loadgen.Client
	clients    sync.WaitGroup
	records    []audit.ClientRecord
	disconnect []context.CancelFunc // of each client
}

// Play replays a path through a real edge and returns what each client saw, beside the outcomes of the model checker's
// clients (empty while one waits). Worlds must have one engine of each role: with more, routing depends on the engines'
// names, which differ on sockets. The error is ErrWorld, ErrAction, modelcheck.ErrPathMismatch, or one of the network.
func Play(w modelcheck.World, path modelcheck.Path) (records []audit.ClientRecord, outcomes []string, err error) {
	if w.PrefillEngines != 1 || w.DecodeEngines != 1 {
		return nil, nil, fmt.Errorf("world %s has %d prefill and %d decode engines: %w", w.Name, w.PrefillEngines, w.DecodeEngines, ErrWorld)
	}
	steps, outcomes, err := modelcheck.TraceSteps(w, path)
	if err != nil {
		return nil, nil, err
	}
	p := &player{world: w, deployment: w.Deployment(), engines: newScriptedEngines(), updates: make(endpointUpdates, 100),
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
		if err := p.perform(ctx, step.Event); err != nil {
			return nil, nil, fmt.Errorf("step %q: %w", step.Name, err)
		}
		time.Sleep(stepDelay)
	}
	p.awaitClients(cancel)
	return p.records, outcomes, nil
}

// start starts the engines and the edge, which has the first endpoint list when it returns. Stop ends them; it is set
// in any case.
func (p *player) start() (stop func(), err error) {
	var stops []func()
	stop = func() {
		for _, f := range slices.Backward(stops) {
			f()
		}
	}
	p.list.Revision = 1
	for i, name := range p.world.EngineNames() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return stop, err
		}
		stops = append(stops, func() { l.Close() })
		go p.engines.listen(l, name)
		p.list.Entries = append(p.list.Entries, endpoint.Entry{ID: l.Addr().String(), Kind: p.deployment.Kinds[i].Name, Weight: 1,
			State: endpoint.Ready})
	}
	p.deployment.ChatAddress = "127.0.0.1:0"
	p.node = edge.New(p.deployment, zap.NewNop(), p.updates, 1)
	if err := p.node.Start(); err != nil {
		return stop, err
	}
	stops = append(stops, func() { p.node.Stop() })
	p.updates <- p.list
	time.Sleep(listDelay)
	return stop, nil
}

// perform does what one event of a path says.
func (p *player) perform(ctx context.Context, e modelcheck.Event) error {
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
		return nil // sockets and clock do this by themselves
	}
	respond, ok := responses[e.Action]
	if !ok {
		return ErrAction
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

// sendRequest starts a client with its request.
func (p *player) sendRequest(ctx context.Context, number int) {
	ctx, p.disconnect[number] = context.WithCancel(ctx)
	p.clients.Go(func() {
		record, _ := p.client.Do(ctx, p.node.Addr(), loadgen.Request{Route: string(p.world.Effects[number]), RequestID: fmt.Sprint("p", number),
			Timeout: p.deployment.Routes[0].Timeout, MaxTokens: maxTokens, Messages: []loadgen.Message{{Role: "user", Content: "x"}}})
		if ctx.Err() != nil && record.Outcome == audit.OutcomeLost {
			record.Outcome = audit.OutcomeAbandoned
		}
		p.records[number] = record
	})
}

// updateEngine publishes the next revision of the endpoint list, with one entry changed.
func (p *player) updateEngine(engine string, change func(*endpoint.Entry)) {
	p.list.Revision++
	p.list.Entries = slices.Clone(p.list.Entries)
	change(&p.list.Entries[slices.Index(p.world.EngineNames(), engine)])
	p.updates <- p.list
}

// awaitClients waits until all clients have ended. A path may end before its clients do: those are canceled.
func (p *player) awaitClients(cancel context.CancelFunc) {
	ended := make(chan struct{})
	go func() { p.clients.Wait(); close(ended) }()
	select {
	case <-ended:
	case <-time.After(clientsTimeout):
		cancel()
		<-ended
	}
}
