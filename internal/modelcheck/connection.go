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

// engineRequest is a request that the router has written to an engine and whose response is not complete.
type engineRequest struct {
	connection      *simulatedConnection
	requestID       string // ID of the client's request; empty for a health check
	kind            RequestKind
	attempt         int  // number of the attempt, for a prefill or a release
	unresponsive    bool // the engine sends nothing for the request until it is responsive again
	firstTokenSent  bool
	secondTokenSent bool
}

// describe returns the description of the request in event names.
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
	engineConnection *router.EngineConnection
	simulation       *simulation
	established      bool
	closed           bool
	partlyWritten    bool  // the kernel has accepted only part of the last request
	halfClosed       bool  // the router has ended its sending, as the request is abandoned
	endedByEngine    bool  // the engine has ended the connection
	hasUnreadBytes   bool  // the router has not read the remaining bytes of a finished response
	hangingSince     int64 // time at which the dial began to hang; 0 if it does not hang
	request          *engineRequest
}

// requestLimits limit the size of the requests that a router writes.
var requestLimits = httpframing.Limits{HeadBytes: 1 << 16, BodyBytes: 1 << 20}

// remotePrefill occurs in the body of every decode request and of no other request.
var remotePrefill = []byte(`"do_remote_prefill":true`)

// Write receives one complete request from the router.
func (c *simulatedConnection) Write(data []byte) error {
	s := c.simulation
	if c.closed || !c.established {
		s.violationLog.add("P8 router writes to a closed connection")
		return io.ErrClosedPipe
	}
	parser := httpframing.NewParser(httpframing.Requests, requestLimits)
	parts, err := parser.Feed(data)
	if err != nil || len(parts) == 0 || !parser.AtBoundary() {
		s.violationLog.add("P8 written bytes are not one complete request: %v", err)
		return nil
	}
	if c.request != nil || c.hasUnreadBytes {
		s.violationLog.add("P8 router writes to a connection to %s that is in use", c.engineConnection.Engine)
	}
	r := readEngineRequest(parts)
	r.connection = c
	if r.isAttempt() {
		s.checkAttempt(r)
	}
	c.request = r
	return nil
}

// readEngineRequest determines the kind and the IDs of a request that the router has written.
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
			panic(err) // The router wrote malformed JSON.
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

// RequestWritten reports whether the kernel has accepted the last request completely.
func (c *simulatedConnection) RequestWritten() bool { return !c.partlyWritten }

// ConfirmInput returns true: responses are passed to the router at once.
func (c *simulatedConnection) ConfirmInput() bool { return true }

// EndSending ends the sending direction, in worlds in which routers do so. The engine may notice later, or never.
func (c *simulatedConnection) EndSending() bool {
	if c.closed || c.request == nil || c.partlyWritten {
		return false
	}
	c.halfClosed = true
	if c.request.kind == DecodeRequest {
		c.simulation.recordPossibleRun(c.request)
	}
	c.simulation.reservations.restartIdleTime(c.request.requestID, c.simulation.now)
	return true
}

// End returns whether the engine has ended the connection.
func (c *simulatedConnection) End() router.ConnectionEnd {
	if c.endedByEngine {
		return router.EndedByPeer
	}
	return router.EndUnknown
}

// endHalfClosed ends a half-closed connection from the engine's side, which has noticed that the request is abandoned.
func (s *simulation) endHalfClosed(c *simulatedConnection, leavesReservation bool) {
	if leavesReservation {
		s.reservations.add(c.request, s.now)
	}
	c.closed, c.endedByEngine, c.request = true, true, nil
	s.handle(func() { s.core.EngineDisconnected(c.engineConnection) })
}

// Close closes the connection from the router's side.
func (c *simulatedConnection) Close() {
	if c.closed {
		return
	}
	c.closed = true
	if c.request != nil {
		c.simulation.recordAbortedRequest(c.request)
	}
	c.request = nil
}

// hasReceivedDecode reports whether the engine has received a complete decode request.
func (c *simulatedConnection) hasReceivedDecode() bool {
	return c.request != nil && c.request.kind == DecodeRequest && !c.partlyWritten
}

// recordAbortedRequest records the possible effects of a request whose connection the router closes: a prefill may still
// complete and leave a reservation, a decode may have run, and a release is lost.
func (s *simulation) recordAbortedRequest(r *engineRequest) {
	if !r.connection.partlyWritten { // An engine does not start a request that it has received only in part.
		switch r.kind {
		case PrefillRequest:
			s.reservations.add(r, s.now)
		case DecodeRequest:
			s.recordPossibleRun(r)
		case ReleaseRequest:
			s.reservations.recordLostRelease(r)
		}
	}
	s.reservations.restartIdleTime(r.requestID, s.now)
}

// resetConnection closes a connection from the engine's side.
func (s *simulation) resetConnection(c *simulatedConnection) {
	r := c.request
	c.closed, c.request = true, nil
	if r != nil {
		s.reservations.restartIdleTime(r.requestID, s.now)
		if r.kind == ReleaseRequest {
			s.reservations.recordLostRelease(r)
		}
	}
	s.handle(func() { s.core.EngineDisconnected(c.engineConnection) })
}

// attemptsInFlight counts the attempts of a request that engines have received and not finished, and that the router has not given
// up.
func (s *simulation) attemptsInFlight(requestID string) (count int) {
	for _, c := range s.connections {
		if !c.closed && !c.halfClosed && c.request != nil && c.request.requestID == requestID && c.request.isAttempt() {
			count++
		}
	}
	return count
}
