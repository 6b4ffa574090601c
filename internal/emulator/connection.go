package emulator

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"

	"sandcourse/internal/protocol/chat"
	"sandcourse/internal/protocol/engineapi"
	"sandcourse/internal/protocol/httpframing"
	"sandcourse/internal/router"
)

// Errors for invalid requests that a router writes to an engine.
var (
	errIncompleteRequest = errors.New("emulator: router did not write a complete request")
	errUnknownRequest    = errors.New("emulator: attempt belongs to no client's request")
)

// requestLimits limit the size of the requests that a router writes.
var requestLimits = httpframing.Limits{HeadBytes: 1 << 16, BodyBytes: 1 << 20}

// remotePrefill occurs in the body of every decode request and of no other request.
var remotePrefill = []byte(`"do_remote_prefill":true`)

// connection is a connection of a router to an engine.
type connection struct {
	id               int64
	engineConnection *router.EngineConnection
	router           *simulatedRouter
	engine           *engine
	closed           bool
	request          *engineRequest
}

// engineRequest is a request to an engine.
type engineRequest struct {
	connection    *connection
	clientRequest *clientRequest // the client's request; nil for a control request
	requestID     string
	attempt       string
	reservation   string // key of the reservation that a decode fetches
	prefillEngine *engine
	decode        bool
	finished      bool
	incarnation   int // incarnation of the engine that accepted the request
}

func sortedByID(set map[*connection]bool) (list []*connection) {
	for c := range set {
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b *connection) int { return cmp.Compare(a.id, b.id) })
	return list
}

// Write receives one complete request from the router.
func (c *connection) Write(data []byte) error {
	if c.closed {
		return io.ErrClosedPipe
	}
	parts, err := httpframing.NewParser(httpframing.Requests, requestLimits).Feed(data)
	if err != nil {
		return fmt.Errorf("%w: %w", errIncompleteRequest, err)
	}
	if len(parts) == 0 {
		return errIncompleteRequest
	}
	var body []byte
	for _, p := range parts {
		if p.Kind == httpframing.Body {
			body = append(body, p.Data...)
		}
	}
	head := parts[0].Request
	c.request = &engineRequest{connection: c, requestID: head.Header.Get(chat.HeaderRequestID),
		attempt: head.Header.Get(engineapi.HeaderAttempt)}
	switch head.URL.Path {
	case engineapi.LoadPath:
		c.answerControlRequest(func() {})
		return nil
	case engineapi.ReleasePath:
		return c.handleRelease(body)
	default:
		return c.handleAttempt(head, body)
	}
}

// answerControlRequest performs a control request and sends its response.
func (c *connection) answerControlRequest(execute func()) {
	r, em := c.request, c.router.emulation
	em.scheduleAfter(networkDelay, func() {
		c.engine.respond(c.engine.incarnation, func() {
			execute()
			r.complete(responseHead(http.StatusOK, c.engine.loadReport()), []byte("{}"))
		})
	})
}

// handleRelease handles a release request. A request that cannot be parsed is not answered.
func (c *connection) handleRelease(body []byte) error {
	var release struct {
		RequestID string `json:"inference"`
		Attempt   int    `json:"send"`
	}
	if json.Unmarshal(body, &release) == nil {
		c.answerControlRequest(func() { delete(c.engine.reservations, fmt.Sprint(release.RequestID, "/", release.Attempt)) })
	}
	return nil
}

func (c *connection) handleAttempt(head *http.Request, body []byte) error {
	r, em := c.request, c.router.emulation
	r.clientRequest = em.requests[head.Header.Get(chat.HeaderClientRequestID)]
	if r.clientRequest == nil {
		return errUnknownRequest
	}
	if bytes.Contains(body, remotePrefill) {
		r.decode = true
		var prefilled struct {
			Transfer engineapi.KVTransfer `json:"kv_transfer_params"`
		}
		if err := json.Unmarshal(body, &prefilled); err != nil {
			return err
		}
		r.reservation = prefilled.Transfer.Engine
		r.prefillEngine = em.engineByName[fmt.Sprint(prefilled.Transfer.Host, ":", prefilled.Transfer.Port)]
	}
	em.scheduleAfter(networkDelay, func() {
		if !c.closed && c.engine.isUp {
			c.engine.accept(r)
		}
	})
	return nil
}

// RequestWritten returns true: requests are always written completely.
func (c *connection) RequestWritten() bool { return true }

// ConfirmInput returns true: responses are passed to the router at once.
func (c *connection) ConfirmInput() bool { return true }

// EndSending returns false: connections are only closed completely.
func (c *connection) EndSending() bool { return false }

// End returns EndUnknown: the router awaits the end of no connection.
func (c *connection) End() router.ConnectionEnd { return router.EndUnknown }

// Close closes the connection and aborts its request.
func (c *connection) Close() {
	c.closed = true
	delete(c.engine.connections, c)
	if c.request != nil {
		c.request.finished = true
	}
}

// resetByEngine closes the connection from the engine's side.
func (c *connection) resetByEngine() {
	if c.closed {
		return
	}
	c.Close()
	c.router.emulation.scheduleAfter(networkDelay, func() {
		c.router.handle(func(core *router.Router) { core.EngineDisconnected(c.engineConnection) })
	})
}

// responseHead returns the head of an engine's response.
func responseHead(status int, h http.Header) *http.Response {
	return &http.Response{StatusCode: status, Status: http.StatusText(status), Header: h}
}

// complete passes a complete response to the router, which reads it at once.
func (r *engineRequest) complete(head *http.Response, body []byte) {
	if r.finished {
		return
	}
	c := r.connection
	r.finished, c.request = true, nil
	c.router.handle(func(core *router.Router) {
		core.ResponseHead(c.engineConnection, head, nil)
		if !c.closed {
			core.ResponseComplete(c.engineConnection, body, true)
		}
	})
}
