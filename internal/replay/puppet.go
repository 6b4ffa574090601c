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

// ask is one request that an engine has got and not answered to its end.
type ask struct {
	kind, engine, send string
	conn               net.Conn
	done               chan struct{} // closed when its answer is whole and the connection may carry another
}

// stage is all engines of a path.
type stage struct {
	mu   sync.Mutex
	asks []*ask
	come chan struct{} // has room for one: an ask has come
}

func (st *stage) serve(l net.Listener, name string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			in := bufio.NewReader(c)
			for {
				r, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				body, err := io.ReadAll(r.Body)
				if err != nil {
					return
				}
				a := &ask{kind: "read", engine: name, send: r.Header.Get(engineapi.HeaderAttempt), conn: c, done: make(chan struct{})}
				switch {
				case r.URL.Path == engineapi.ReleasePath:
					a.kind = "release"
				case r.URL.Path == engineapi.LoadPath:
					a.kind = "probe"
				case bytes.Contains(body, []byte(`"do_remote_prefill":true`)):
					a.kind = "write"
				}
				st.mu.Lock()
				st.asks = append(st.asks, a)
				st.mu.Unlock()
				select {
				case st.come <- struct{}{}:
				default:
				}
				<-a.done
			}
		}()
	}
}

// find waits for an ask of a kind at an engine; any kind if that is empty.
func (st *stage) find(ctx context.Context, kind, at string) (*ask, error) {
	for {
		st.mu.Lock()
		for _, a := range st.asks {
			if a.engine == at && (kind == "" || a.kind == kind) {
				st.mu.Unlock()
				return a, nil
			}
		}
		st.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("the edge never sent a %s to %s", kind, at)
		case <-st.come:
		case <-time.After(2 * time.Millisecond):
		}
	}
}

// end drops an ask; its connection carries on or is reset.
func (st *stage) end(a *ask, reset bool) {
	st.mu.Lock()
	for i, o := range st.asks {
		if o == a {
			st.asks = append(st.asks[:i], st.asks[i+1:]...)
			break
		}
	}
	st.mu.Unlock()
	if reset {
		a.conn.(*net.TCPConn).SetLinger(0)
		a.conn.Close()
	}
	close(a.done)
}

func whole(c net.Conn, status int, refused, body string) {
	fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	if refused != "" {
		fmt.Fprintf(c, "%s: %s\r\n", engineapi.HeaderRejected, refused)
	}
	fmt.Fprintf(c, "\r\n%s", body)
}

const streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

func event(c net.Conn, data string) {
	text := chat.AppendEvent(nil, []byte(data))
	fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
}

// deeds are what an engine may do about a request, by the end of the event's name.
var deeds = []struct {
	suffix string
	do     func(st *stage, a *ask)
}{
	{" ends, half its answer comes", func(st *stage, a *ask) {
		fmt.Fprint(a.conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 100\r\n\r\n{")
		time.Sleep(2 * time.Millisecond) // a reset may overtake what was written before it
		st.end(a, true)
	}},
	{" ends, its answer names no state", func(st *stage, a *ask) { whole(a.conn, 200, "", "{}"); st.end(a, false) }},
	{" ends", func(st *stage, a *ask) {
		whole(a.conn, 200, "", `{"kv_transfer_params":{"do_remote_prefill":true,"remote_engine_id":"x","remote_host":"127.0.0.1","remote_port":9}}`)
		st.end(a, false)
	}},
	{" gives its first token", func(_ *stage, a *ask) { fmt.Fprint(a.conn, streamHead); event(a.conn, `{"choices":[]}`) }},
	{" gives another token", func(_ *stage, a *ask) { event(a.conn, `{"choices":[]}`) }},
	{" ends well", func(st *stage, a *ask) { event(a.conn, chat.Done); fmt.Fprint(a.conn, "0\r\n\r\n"); st.end(a, false) }},
	{" ends without its last event", func(st *stage, a *ask) { fmt.Fprint(a.conn, "0\r\n\r\n"); st.end(a, false) }},
	{" finds no state", func(st *stage, a *ask) { whole(a.conn, 409, engineapi.RejectedNoReservation, "{}"); st.end(a, false) }},
	{" is refused: full", func(st *stage, a *ask) { whole(a.conn, 429, engineapi.RejectedFull, "{}"); st.end(a, false) }},
	{" fails without a word why", func(st *stage, a *ask) { whole(a.conn, 503, "", "{}"); st.end(a, false) }},
	{" is lost with its connection", func(st *stage, a *ask) { st.end(a, true) }},
	{" is answered", func(st *stage, a *ask) { whole(a.conn, 200, "", "{}"); st.end(a, false) }},
	{" is not heard of", func(*stage, *ask) {}},
	{" wakes", func(*stage, *ask) {}},
}

// lists hands over lists as they are sent.
type lists chan endpoint.List

func (l lists) Run(ctx context.Context, take func(endpoint.List), _ func(error)) {
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
func Play(w modelcheck.World, path modelcheck.Path) (got []audit.Call, want []string, err error) {
	if w.Readers != 1 || w.Writers != 1 {
		return nil, nil, fmt.Errorf("world %s has %d readers and %d writers; sockets play one of each", w.Name, w.Readers, w.Writers)
	}
	steps, want, err := modelcheck.Steps(w, path)
	if err != nil {
		return nil, nil, err
	}
	st := &stage{come: make(chan struct{}, 1)}
	d, source := w.Deployment(), make(lists, 100)
	list := endpoint.List{Revision: 1}
	for i, name := range w.Names() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, nil, err
		}
		defer l.Close()
		go st.serve(l, name)
		list.Entries = append(list.Entries, endpoint.Entry{ID: l.Addr().String(), Kind: d.Kinds[i].Name, Weight: 1, State: endpoint.Ready})
	}
	d.ChatAddress = "127.0.0.1:0"
	n := edge.New(d, zap.NewNop(), source, 1)
	if err := n.Start(); err != nil {
		return nil, nil, err
	}
	defer n.Stop()
	source <- list
	client := loadgen.NewClient()
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	got = make([]audit.Call, len(w.Effects))
	leave := make([]context.CancelFunc, len(w.Effects))
	var all sync.WaitGroup
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
			all.Go(func() {
				got[i], _ = client.Do(mine, n.Addr(), loadgen.Ask{Route: w.Effects[i], Request: fmt.Sprint("p", i),
					GiveUp: d.Routes[0].Timeout, Most: 5, Messages: []loadgen.Line{{Role: "user", Content: "x"}}})
				if mine.Err() != nil && got[i].Final == "lost" {
					got[i].Final = "left"
				}
			})
		case strings.HasPrefix(name, "the list says that "), strings.HasSuffix(name, " restarts cold"):
			for j, e := range w.Names() {
				if !strings.Contains(name, e) {
					continue
				}
				list.Revision++
				list.Entries = append([]endpoint.Entry{}, list.Entries...)
				if strings.HasSuffix(name, " drains") {
					list.Entries[j].State = endpoint.Draining
				} else {
					list.Entries[j].StartedAtMs = time.Now().UnixMilli()
					for a, err := st.find(now(), "", e); err == nil; a, err = st.find(now(), "", e) {
						st.end(a, true)
					}
				}
				source <- list
			}
		case strings.HasPrefix(name, "time passes"), strings.HasSuffix(name, " is there"), strings.HasPrefix(name, "the rest of the answer"):
			// sockets and clock do this by themselves
		default:
			if err := st.act(ctx, w, name); err != nil {
				return nil, nil, err
			}
		}
		time.Sleep(3 * time.Millisecond) // what was written is read before the next step
	}
	over := make(chan struct{})
	go func() { all.Wait(); close(over) }()
	select {
	case <-over:
	case <-time.After(2 * time.Second): // a path may end before its clients do
		cancel()
		<-over
	}
	return got, want, nil
}

func now() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// act finds who is meant and what is done.
func (st *stage) act(ctx context.Context, w modelcheck.World, name string) error {
	kind, _, _ := strings.Cut(name, " ")
	for _, d := range deeds {
		if !strings.HasSuffix(name, d.suffix) {
			continue
		}
		for _, e := range w.Names() {
			if strings.HasSuffix(name, " at "+e+d.suffix) {
				ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
				defer cancel()
				a, err := st.find(ctx, kind, e)
				if err != nil {
					return fmt.Errorf("%q: %w", name, err)
				}
				d.do(st, a)
				return nil
			}
		}
	}
	return fmt.Errorf("%q can't be played on sockets", name)
}
