package replay

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"sandcourse/internal/modelcheck"
	"sandcourse/internal/protocol/engineapi"
)

// pollInterval is how often awaitRequest looks by itself.
const pollInterval = 2 * time.Millisecond

// engineRequest is one request that an engine has received and not answered completely.
type engineRequest struct {
	kind   modelcheck.RequestKind
	engine string
	conn   net.Conn
	done   chan struct{} // closed when its response is complete and the connection may carry another
}

// scriptedEngines are all engines of a path. They respond when they are told.
type scriptedEngines struct {
	mu       sync.Mutex
	requests []*engineRequest
	arrived  chan struct{} // has capacity for one: a request has arrived
}

func newScriptedEngines() *scriptedEngines {
	return &scriptedEngines{arrived: make(chan struct{}, 1)}
}

// listen serves the connections of one engine.
func (s *scriptedEngines) listen(l net.Listener, engine string) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go s.serve(conn, engine)
	}
}

// serve reads requests, each after the response to the one before.
func (s *scriptedEngines) serve(conn net.Conn, engine string) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		httpRequest, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(httpRequest.Body)
		if err != nil {
			return
		}
		r := &engineRequest{kind: kindOf(httpRequest.URL.Path, body), engine: engine, conn: conn, done: make(chan struct{})}
		s.mu.Lock()
		s.requests = append(s.requests, r)
		s.mu.Unlock()
		select {
		case s.arrived <- struct{}{}:
		default:
		}
		<-r.done
	}
}

func kindOf(path string, body []byte) modelcheck.RequestKind {
	switch {
	case path == engineapi.ReleasePath:
		return modelcheck.ReleaseRequest
	case path == engineapi.LoadPath:
		return modelcheck.HealthCheckRequest
	case bytes.Contains(body, []byte(`"do_remote_prefill":true`)):
		return modelcheck.DecodeRequest
	}
	return modelcheck.PrefillRequest
}

// find is the first open request of a kind at an engine, or nil; of any kind if that is NoRequest.
func (s *scriptedEngines) find(kind modelcheck.RequestKind, engine string) *engineRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.requests {
		if r.engine == engine && (kind == modelcheck.NoRequest || r.kind == kind) {
			return r
		}
	}
	return nil
}

// awaitRequest waits for a request of a kind at an engine.
func (s *scriptedEngines) awaitRequest(ctx context.Context, kind modelcheck.RequestKind, engine string) (*engineRequest, error) {
	for {
		if r := s.find(kind, engine); r != nil {
			return r, nil
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("no %v request at %s: %w", kind, engine, ctx.Err())
		case <-s.arrived:
		case <-time.After(pollInterval):
		}
	}
}

// finish ends a request; its connection carries the next one, or is reset.
func (s *scriptedEngines) finish(r *engineRequest, reset bool) {
	s.mu.Lock()
	s.requests = slices.DeleteFunc(s.requests, func(other *engineRequest) bool { return other == r })
	s.mu.Unlock()
	if reset {
		_ = r.conn.(*net.TCPConn).SetLinger(0) // a connection that has ended needs no reset
		r.conn.Close()
	}
	close(r.done)
}

// resetAll resets the connections of all requests that are open at an engine.
func (s *scriptedEngines) resetAll(engine string) {
	for r := s.find(modelcheck.NoRequest, engine); r != nil; r = s.find(modelcheck.NoRequest, engine) {
		s.finish(r, true)
	}
}
