package modelcheck

import (
	"bytes"
	"encoding/json"
	"io"
	"strconv"

	"sandcourse/internal/protocol/chat"
	"sandcourse/internal/protocol/engineapi"
	"sandcourse/internal/protocol/httpframing"
	"sandcourse/internal/router"
)

// engineRequest is one request to an engine that has been written and whose response is not complete.
type engineRequest struct {
	connection      *simulatedConnection
	requestID       string // empty for a health check
	kind            RequestKind
	attempt         int  // of a prefill or a release: which
	unresponsive    bool // nothing arrives until the engine is responsive again
	firstTokenSent  bool
	secondTokenSent bool
}

// describe names the request in events.
func (r *engineRequest) describe() string {
	if r.requestID == "" {
		return r.kind.String()
	}
	return r.kind.String() + " of " + r.requestID
}

// isAttempt reports whether the request is an attempt of a client's request.
func (r *engineRequest) isAttempt() bool { return r.kind == PrefillRequest || r.kind == DecodeRequest }

// simulatedConnection is a connection of the router to an engine.
type simulatedConnection struct {
	core          *router.EngineConnection
	simulation    *simulation
	established   bool
	closed        bool
	partlyWritten bool  // the kernel has not taken the whole of the last request
	unreadRest    bool  // bytes of a response that is over are unread
	hangingSince  int64 // when its dial began to hang; 0 if it does not
	request       *engineRequest
}

// requestLimits bound the requests that a router writes.
var requestLimits = httpframing.Limits{HeadBytes: 1 << 16, BodyBytes: 1 << 20}

// remotePrefill marks the body of a decode request.
var remotePrefill = []byte(`"do_remote_prefill":true`)

// Write takes one whole request from the router.
func (c *simulatedConnection) Write(data []byte) error {
	s := c.simulation
	if c.closed || !c.established {
		s.violated.add("P8 a closed connection is written to")
		return io.ErrClosedPipe
	}
	parser := httpframing.NewParser(httpframing.Requests, requestLimits)
	parts, err := parser.Feed(data)
	if err != nil || len(parts) == 0 || !parser.AtBoundary() {
		s.violated.add("P8 what is written is not one complete request: %v", err)
		return nil
	}
	if c.request != nil || c.unreadRest {
		s.violated.add("P8 connection to %s is written to while it is in use", c.core.Engine)
	}
	r := readEngineRequest(parts)
	r.connection = c
	if r.isAttempt() {
		s.checkAttempt(r)
	}
	c.request = r
	return nil
}

// readEngineRequest tells from a request's bytes what the router asks for.
func readEngineRequest(parts []httpframing.Part) *engineRequest {
	head := parts[0].Request
	var body []byte
	for _, p := range parts {
		if p.Kind == httpframing.Body {
			body = append(body, p.Data...)
		}
	}
	r := &engineRequest{requestID: head.Header.Get(chat.HeaderRequestID)}
	switch head.URL.Path {
	case engineapi.LoadPath:
		r.kind = HealthCheckRequest
	case engineapi.ReleasePath:
		r.kind = ReleaseRequest
		var release struct {
			RequestID string `json:"inference"`
			Attempt   int    `json:"send"`
		}
		if err := json.Unmarshal(body, &release); err != nil {
			panic(err) // the router's own request
		}
		r.requestID, r.attempt = release.RequestID, release.Attempt
	default:
		r.kind = PrefillRequest
		r.attempt, _ = strconv.Atoi(head.Header.Get(engineapi.HeaderAttempt))
		if bytes.Contains(body, remotePrefill) {
			r.kind = DecodeRequest
		}
	}
	return r
}

// RequestWritten reports whether the kernel has taken the whole of the last request.
func (c *simulatedConnection) RequestWritten() bool { return !c.partlyWritten }

// Close ends the connection from the router's side.
func (c *simulatedConnection) Close() {
	if c.closed {
		return
	}
	c.closed = true
	if c.request != nil {
		c.simulation.requestDropped(c.request)
	}
	c.request = nil
}

// decodeWritten reports whether a decode request is with the engine completely.
func (c *simulatedConnection) decodeWritten() bool {
	return c.request != nil && c.request.kind == DecodeRequest && !c.partlyWritten
}

// requestDropped is what becomes of a request whose connection the router closes: a prefill may still complete and
// leave a reservation, and a decode engine may have run it.
func (s *simulation) requestDropped(r *engineRequest) {
	if !r.connection.partlyWritten { // an engine does not begin on a part
		switch r.kind {
		case PrefillRequest:
			s.reservations.add(r, s.now)
		case DecodeRequest:
			s.markRun(r)
		case ReleaseRequest:
			s.reservations.releaseLost(r)
		}
	}
	s.reservations.restartIdleTime(r.requestID, s.now)
}

// resetConnection breaks a connection from the engine's side.
func (s *simulation) resetConnection(c *simulatedConnection) {
	r := c.request
	c.closed, c.request = true, nil
	if r != nil {
		s.reservations.restartIdleTime(r.requestID, s.now)
		if r.kind == ReleaseRequest {
			s.reservations.releaseLost(r)
		}
	}
	s.handle(func() { s.core.EngineDisconnected(c.core) })
}

// attemptsInFlight counts the attempts of a request that are with engines.
func (s *simulation) attemptsInFlight(requestID string) (count int) {
	for _, c := range s.connections {
		if !c.closed && c.request != nil && c.request.requestID == requestID && c.request.isAttempt() {
			count++
		}
	}
	return count
}
