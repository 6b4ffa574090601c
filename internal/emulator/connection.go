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

// The errors of what a router writes to an engine.
var (
	errNoRequest      = errors.New("emulator: the router wrote no complete request")
	errUnknownRequest = errors.New("emulator: an attempt of a request that no client sent")
)

// requestLimits bound the requests that a router writes.
var requestLimits = httpframing.Limits{HeadBytes: 1 << 16, BodyBytes: 1 << 20}

// remotePrefill marks the body of a decode request.
var remotePrefill = []byte(`"do_remote_prefill":true`)

// connection is a connection of a router to an engine.
type connection struct {
	id      int64
	core    *router.EngineConnection
	router  *simulatedRouter
	engine  *engine
	closed  bool
	request *engineRequest
}

// engineRequest is one request to an engine.
type engineRequest struct {
	connection    *connection
	clientRequest *clientRequest // of an attempt
	requestID     string
	attempt       string
	reservation   string // that a decode has to fetch
	prefillEngine *engine
	decode        bool
	finished      bool
	incarnation   int // of the engine that accepted it
}

func sortedByID(set map[*connection]bool) (list []*connection) {
	for c := range set {
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b *connection) int { return cmp.Compare(a.id, b.id) })
	return list
}

// Write takes one complete request from the router.
func (c *connection) Write(data []byte) error {
	if c.closed {
		return io.ErrClosedPipe
	}
	parts, err := httpframing.NewParser(httpframing.Requests, requestLimits).Feed(data)
	if err != nil {
		return fmt.Errorf("%w: %w", errNoRequest, err)
	}
	if len(parts) == 0 {
		return errNoRequest
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
		c.control(func() {})
		return nil
	case engineapi.ReleasePath:
		return c.writeRelease(body)
	default:
		return c.writeAttempt(head, body)
	}
}

// control does what a control request asks for, and answers it.
func (c *connection) control(perform func()) {
	r, em := c.request, c.router.emulation
	em.after(networkDelay, func() {
		c.engine.respond(c.engine.incarnation, func() {
			perform()
			r.complete(responseHead(http.StatusOK, c.engine.loadReport()), []byte("{}"))
		})
	})
}

// writeRelease handles a release. One that cannot be read is not answered.
func (c *connection) writeRelease(body []byte) error {
	var release struct {
		RequestID string `json:"inference"`
		Attempt   int    `json:"send"`
	}
	if json.Unmarshal(body, &release) == nil {
		c.control(func() { delete(c.engine.reservations, fmt.Sprint(release.RequestID, "/", release.Attempt)) })
	}
	return nil
}

func (c *connection) writeAttempt(head *http.Request, body []byte) error {
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
	em.after(networkDelay, func() {
		if !c.closed && c.engine.up {
			c.engine.accept(r)
		}
	})
	return nil
}

// RequestWritten reports that the kernel takes requests at once.
func (c *connection) RequestWritten() bool { return true }

// Close ends the connection, and aborts what the engine does for it.
func (c *connection) Close() {
	c.closed = true
	delete(c.engine.connections, c)
	if c.request != nil {
		c.request.finished = true
	}
}

// resetByEngine breaks the connection from the engine's side.
func (c *connection) resetByEngine() {
	if c.closed {
		return
	}
	c.Close()
	c.router.emulation.after(networkDelay, func() {
		c.router.handle(func(core *router.Router) { core.EngineDisconnected(c.core) })
	})
}

// responseHead is the head of an engine's response.
func responseHead(status int, h http.Header) *http.Response {
	return &http.Response{StatusCode: status, Status: http.StatusText(status), Header: h}
}

// complete passes a complete response to the router, which reads it in one go.
func (r *engineRequest) complete(head *http.Response, body []byte) {
	if r.finished {
		return
	}
	c := r.connection
	r.finished, c.request = true, nil
	c.router.handle(func(core *router.Router) {
		core.ResponseHead(c.core, head, nil)
		if !c.closed {
			core.ResponseComplete(c.core, body, true)
		}
	})
}
