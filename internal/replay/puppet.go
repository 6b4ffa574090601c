// Package puppet plays a path of the explorer through a real edge on sockets: engines that do what the path says
// and nothing else, a client for each inference, and a list that changes when told.
package replay

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"sandcourse/internal/audit"
	"sandcourse/internal/edge"
	"sandcourse/internal/endpoint"
	"sandcourse/internal/loadgen"
	"sandcourse/internal/modelcheck"
	"sandcourse/internal/protocol/chat"
	"sandcourse/internal/protocol/engineapi"
)

// engineRequest is one request that an engine has got and not answered to its end.
type engineRequest struct {
	kind, engine, send string
	conn               net.Conn
	done               chan struct{} // closed when its answer is whole and the connection may carry another
}

// engineStage is all engines of a path.
type engineStage struct {
	mu       sync.Mutex
	requests []*engineRequest
	arrived  chan struct{} // has room for one: an ask has come
}

func (s *engineStage) serve(l net.Listener, name string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			in := bufio.NewReader(c)
			for {
				httpRequest, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				body, err := io.ReadAll(httpRequest.Body)
				if err != nil {
					return
				}
				request := &engineRequest{kind: "read", engine: name, send: httpRequest.Header.Get(engineapi.HeaderAttempt), conn: c, done: make(chan struct{})}
				switch {
				case httpRequest.URL.Path == engineapi.ReleasePath:
					request.kind = "release"
				case httpRequest.URL.Path == engineapi.LoadPath:
					request.kind = "probe"
				case bytes.Contains(body, []byte(`"do_remote_prefill":true`)):
					request.kind = "write"
				}
				s.mu.Lock()
				s.requests = append(s.requests, request)
				s.mu.Unlock()
				select {
				case s.arrived <- struct{}{}:
				default:
				}
				<-request.done
			}
		}()
	}
}

// awaitRequest waits for an ask of a kind at an engine; any kind if that is empty.
func (s *engineStage) awaitRequest(ctx context.Context, kind, at string) (*engineRequest, error) {
	for {
		s.mu.Lock()
		for _, request := range s.requests {
			if request.engine == at && (kind == "" || request.kind == kind) {
				s.mu.Unlock()
				return request, nil
			}
		}
		s.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("the edge never sent a %s to %s", kind, at)
		case <-s.arrived:
		case <-time.After(2 * time.Millisecond):
		}
	}
}

// finish drops an ask; its connection carries on or is reset.
func (s *engineStage) finish(request *engineRequest, reset bool) {
	s.mu.Lock()
	for i, other := range s.requests {
		if other == request {
			s.requests = append(s.requests[:i], s.requests[i+1:]...)
			break
		}
	}
	s.mu.Unlock()
	if reset {
		request.conn.(*net.TCPConn).SetLinger(0)
		request.conn.Close()
	}
	close(request.done)
}

func writeResponse(c net.Conn, status int, refused, body string) {
	fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	if refused != "" {
		fmt.Fprintf(c, "%s: %s\r\n", engineapi.HeaderRejected, refused)
	}
	fmt.Fprintf(c, "\r\n%s", body)
}

const streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

func writeEvent(c net.Conn, data string) {
	text := chat.AppendEvent(nil, []byte(data))
	fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
}

// responses are what an engine may do about a request, by the end of the event's name.
var responses = []struct {
	suffix string
	do     func(st *engineStage, a *engineRequest)
}{
	{" ends, half its answer comes", func(st *engineStage, a *engineRequest) {
		fmt.Fprint(a.conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 100\r\n\r\n{")
		time.Sleep(2 * time.Millisecond) // a reset may overtake what was written before it
		st.finish(a, true)
	}},
	{" ends, its answer names no state", func(st *engineStage, a *engineRequest) { writeResponse(a.conn, 200, "", "{}"); st.finish(a, false) }},
	{" ends", func(st *engineStage, a *engineRequest) {
		writeResponse(a.conn, 200, "", `{"kv_transfer_params":{"do_remote_prefill":true,"remote_engine_id":"x","remote_host":"127.0.0.1","remote_port":9}}`)
		st.finish(a, false)
	}},
	{" gives its first token", func(_ *engineStage, a *engineRequest) {
		fmt.Fprint(a.conn, streamHead)
		writeEvent(a.conn, `{"choices":[]}`)
	}},
	{" gives another token", func(_ *engineStage, a *engineRequest) { writeEvent(a.conn, `{"choices":[]}`) }},
	{" ends well", func(st *engineStage, a *engineRequest) {
		writeEvent(a.conn, chat.Done)
		fmt.Fprint(a.conn, "0\r\n\r\n")
		st.finish(a, false)
	}},
	{" ends without its last event", func(st *engineStage, a *engineRequest) { fmt.Fprint(a.conn, "0\r\n\r\n"); st.finish(a, false) }},
	{" finds no state", func(st *engineStage, a *engineRequest) {
		writeResponse(a.conn, 409, engineapi.RejectedNoReservation, "{}")
		st.finish(a, false)
	}},
	{" is refused: full", func(st *engineStage, a *engineRequest) {
		writeResponse(a.conn, 429, engineapi.RejectedFull, "{}")
		st.finish(a, false)
	}},
	{" fails without a word why", func(st *engineStage, a *engineRequest) { writeResponse(a.conn, 503, "", "{}"); st.finish(a, false) }},
	{" is lost with its connection", func(st *engineStage, a *engineRequest) { st.finish(a, true) }},
	{" is answered", func(st *engineStage, a *engineRequest) { writeResponse(a.conn, 200, "", "{}"); st.finish(a, false) }},
	{" is not heard of", func(*engineStage, *engineRequest) {}},
	{" wakes", func(*engineStage, *engineRequest) {}},
}

// endpointUpdates hands over lists as they are sent.
type endpointUpdates chan endpoint.List

func (l endpointUpdates) Run(ctx context.Context, take func(endpoint.List), _ func(error)) {
	for {
		select {
		case <-ctx.Done():
			return
		case list := <-l:
			take(list)
		}
	}
}

// Play drives a real edge along a path and returns what each client saw, beside what the explorer's clients ended
// with (empty while one waits). Worlds must have one reader and one writer: with more, the choice hangs on the
// engines' names, which on sockets are other ones.
func Play(w modelcheck.World, path modelcheck.Path) (records []audit.ClientRecord, outcomes []string, err error) {
	if w.PrefillEngines != 1 || w.DecodeEngines != 1 {
		return nil, nil, fmt.Errorf("world %s has %d readers and %d writers; sockets play one of each", w.Name, w.PrefillEngines, w.DecodeEngines)
	}
	steps, outcomes, err := modelcheck.TraceSteps(w, path)
	if err != nil {
		return nil, nil, err
	}
	st := &engineStage{arrived: make(chan struct{}, 1)}
	d, source := w.Deployment(), make(endpointUpdates, 100)
	list := endpoint.List{Revision: 1}
	for i, name := range w.EngineNames() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, nil, err
		}
		defer l.Close()
		go st.serve(l, name)
		list.Entries = append(list.Entries, endpoint.Entry{ID: l.Addr().String(), Kind: d.Kinds[i].Name, Weight: 1, State: endpoint.Ready})
	}
	d.ChatAddress = "127.0.0.1:0"
	node := edge.New(d, zap.NewNop(), source, 1)
	if err := node.Start(); err != nil {
		return nil, nil, err
	}
	defer node.Stop()
	source <- list
	client := loadgen.NewClient()
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	records = make([]audit.ClientRecord, len(w.Effects))
	leave := make([]context.CancelFunc, len(w.Effects))
	var clients sync.WaitGroup
	time.Sleep(20 * time.Millisecond) // the list must be in before the first call
	passed := time.Duration(0)
	for _, step := range steps {
		time.Sleep(step.At - passed)
		passed = step.At
		var i int
		switch name := step.Name; {
		case strings.HasPrefix(name, "client "):
			fmt.Sscanf(name, "client %d", &i)
			if strings.HasSuffix(name, " leaves") {
				leave[i]()
				break
			}
			mine, stop := context.WithCancel(ctx)
			leave[i] = stop
			clients.Go(func() {
				records[i], _ = client.Do(mine, node.Addr(), loadgen.Request{Route: w.Effects[i], RequestID: fmt.Sprint("p", i),
					Timeout: d.Routes[0].Timeout, MaxTokens: 5, Messages: []loadgen.Message{{Role: "user", Content: "x"}}})
				if mine.Err() != nil && records[i].Outcome == "lost" {
					records[i].Outcome = "left"
				}
			})
		case strings.HasPrefix(name, "the list says that "), strings.HasSuffix(name, " restarts cold"):
			for j, e := range w.EngineNames() {
				if !strings.Contains(name, e) {
					continue
				}
				list.Revision++
				list.Entries = append([]endpoint.Entry{}, list.Entries...)
				if strings.HasSuffix(name, " drains") {
					list.Entries[j].State = endpoint.Draining
				} else {
					list.Entries[j].StartedAtMs = time.Now().UnixMilli()
					for request, err := st.awaitRequest(expiredContext(), "", e); err == nil; request, err = st.awaitRequest(expiredContext(), "", e) {
						st.finish(request, true)
					}
				}
				source <- list
			}
		case strings.HasPrefix(name, "time passes"), strings.HasSuffix(name, " is there"), strings.HasPrefix(name, "the rest of the answer"):
			// sockets and clock do this by themselves
		default:
			if err := st.perform(ctx, w, name); err != nil {
				return nil, nil, err
			}
		}
		time.Sleep(3 * time.Millisecond) // what was written is read before the next step
	}
	over := make(chan struct{})
	go func() { clients.Wait(); close(over) }()
	select {
	case <-over:
	case <-time.After(2 * time.Second): // a path may end before its clients do
		cancel()
		<-over
	}
	return records, outcomes, nil
}

func expiredContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// perform finds who is meant and what is done.
func (s *engineStage) perform(ctx context.Context, w modelcheck.World, name string) error {
	kind, _, _ := strings.Cut(name, " ")
	for _, response := range responses {
		if !strings.HasSuffix(name, response.suffix) {
			continue
		}
		for _, e := range w.EngineNames() {
			if strings.HasSuffix(name, " at "+e+response.suffix) {
				ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
				defer cancel()
				request, err := s.awaitRequest(ctx, kind, e)
				if err != nil {
					return fmt.Errorf("%q: %w", name, err)
				}
				response.do(s, request)
				return nil
			}
		}
	}
	return fmt.Errorf("%q can't be played on sockets", name)
}
