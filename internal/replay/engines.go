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

// pollInterval is the interval at which awaitRequest checks for requests if no signal arrives.
const pollInterval = 2 * time.Millisecond

// engineRequest is a request that an engine has received and whose response is not complete.
type engineRequest struct {
	kind   modelcheck.RequestKind
	engine string
	conn   net.Conn
	done   chan struct{} // channel that is closed when the request is finished
}

// scriptedEngines simulates all engines of a path. An engine responds only when an event of the path is replayed.
type scriptedEngines struct {
	mu       sync.Mutex
	requests []*engineRequest
	arrived  chan struct{} // signal that a request has arrived; capacity 1
}

func newScriptedEngines() *scriptedEngines {
	return &scriptedEngines{arrived: make(chan struct{}, 1)}
}

// acceptConnections accepts and serves the connections of one engine.
func (s *scriptedEngines) acceptConnections(l net.Listener, engine string) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go s.serve(conn, engine)
	}
}

// serve reads requests from a connection, each after the previous one is finished.
func (s *scriptedEngines) serve(conn net.Conn, engine string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		httpRequest, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(httpRequest.Body)
		if err != nil {
			return
		}
		r := &engineRequest{kind: requestKind(httpRequest.URL.Path, body), engine: engine, conn: conn, done: make(chan struct{})}
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

func requestKind(path string, body []byte) modelcheck.RequestKind {
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

// findRequest returns the oldest open request of a kind at an engine, or nil. The kind NoRequest matches every request.
func (s *scriptedEngines) findRequest(kind modelcheck.RequestKind, engine string) *engineRequest {
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
		if r := s.findRequest(kind, engine); r != nil {
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

// finishRequest removes a request, and either resets its connection or keeps it open for the next request.
func (s *scriptedEngines) finishRequest(r *engineRequest, reset bool) {
	s.mu.Lock()
	s.requests = slices.DeleteFunc(s.requests, func(other *engineRequest) bool { return other == r })
	s.mu.Unlock()
	if reset {
		_ = r.conn.(*net.TCPConn).SetLinger(0) // SetLinger fails only on a closed connection, which needs no reset.
		r.conn.Close()
	}
	close(r.done)
}

// resetAll resets the connections of all open requests at an engine.
func (s *scriptedEngines) resetAll(engine string) {
	for r := s.findRequest(modelcheck.NoRequest, engine); r != nil; r = s.findRequest(modelcheck.NoRequest, engine) {
		s.finishRequest(r, true)
	}
}
