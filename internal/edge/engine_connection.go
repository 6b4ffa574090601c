package edge

import (
	"errors"
	"net/http"
	"sync/atomic"

	"github.com/lesismal/nbio"

	"sandcourse/internal/protocol/chat"
	"sandcourse/internal/protocol/httpframing"
	"sandcourse/internal/router"
)

// Bounds of what an engine may respond.
const (
	maxResponseHead = 16 << 10
	maxStreamBody   = 64 << 20 // of all events together
	maxCompleteBody = 1 << 20  // of a response that is no stream
	maxStreamEvent  = 256 << 10
)

// errResponseTooLarge says that a response that is no stream is over maxCompleteBody. Its text may reach a client.
var errResponseTooLarge = errors.New("answer is over its bound")

// engineConnection is one connection to an engine, and the router.EngineSocket that package router sees. Its poller parses
// responses; the owner writes requests.
type engineConnection struct {
	edge  *Edge
	state *router.EngineConnection // the owner's
	conn  *nbio.Conn

	// The poller's.
	parser         *httpframing.Parser
	streamDecoder  *chat.Decoder // of the stream under way; nil where the response is no stream
	body           []byte        // of a response that is no stream
	relay          *tokenRelay   // of the stream under way
	closeAnnounced bool          // by the engine, after this response

	bytesToWrite int64 // the owner's
	bytesWritten atomic.Int64
}

func newEngineConnection(e *Edge, state *router.EngineConnection, conn *nbio.Conn) *engineConnection {
	bounds := httpframing.Limits{HeadBytes: maxResponseHead, BodyBytes: maxStreamBody}
	return &engineConnection{edge: e, state: state, conn: conn, parser: httpframing.NewParser(httpframing.Responses, bounds)}
}

// Write hands a request to the socket.
func (c *engineConnection) Write(request []byte) error {
	c.edge.reach(ConnectionAssigned)
	c.bytesWritten.Store(0)
	c.bytesToWrite = int64(len(request))
	_, err := c.conn.Write(request)
	if err != nil { // it may have closed before its session was set
		c.edge.inbox.put(engineLane, 0, func() { c.edge.router.EngineDisconnected(c.state) })
	}
	return err
}

// RequestWritten is whether the kernel has taken the whole request.
func (c *engineConnection) RequestWritten() bool { return c.bytesWritten.Load() >= c.bytesToWrite }

// Close closes the connection at once.
func (c *engineConnection) Close() { c.conn.Close() }

// readable runs on the poller when there is something to read.
func (c *engineConnection) readable() {
	buffer := readBuffers.Get().(*[]byte)
	defer readBuffers.Put(buffer)
	for range maxReadsPerWakeup {
		size, err := readOnce(c.conn, *buffer)
		if size > 0 {
			c.handleData((*buffer)[:size])
		}
		if err != nil {
			c.conn.Close()
			return
		}
		if size < len(*buffer) {
			return
		}
	}
}

// handleData parses what was read into tasks for the owner, and relays tokens.
func (c *engineConnection) handleData(data []byte) {
	pieces, err := c.parser.Feed(data)
	c.edge.reach(ResponseRead)
	for i, piece := range pieces {
		switch piece.Kind {
		case httpframing.Head:
			c.handleHead(piece.Response)
		case httpframing.Body:
			if bodyErr := c.handleBody(piece.Data); err == nil {
				err = bodyErr
			}
		case httpframing.End:
			c.handleEnd(i == len(pieces)-1)
		}
	}
	if err != nil {
		c.edge.inbox.put(engineLane, 1, func() { c.edge.router.ResponseInvalid(c.state, err) })
	}
}

// handleHead begins a response.
func (c *engineConnection) handleHead(head *http.Response) {
	e := c.edge
	c.streamDecoder, c.body, c.relay, c.closeAnnounced = nil, nil, nil, head.Close
	var tokens router.Relay // nil, and not a nil *relay, where the response is no stream
	if chat.IsEventStream(head.Header) {
		c.streamDecoder, c.relay = chat.NewDecoder(maxStreamEvent), &tokenRelay{frame: e.protocol.StreamEvent}
		c.streamDecoder.OnComment = func(text []byte) {
			e.inbox.put(engineLane, 1+len(text), func() { e.router.StreamComment(c.state, text) })
		}
		tokens = c.relay
	}
	e.inbox.put(engineLane, 1, func() { e.router.ResponseHead(c.state, head, tokens) })
}

// handleBody takes a part of a response's body.
func (c *engineConnection) handleBody(data []byte) error {
	if c.streamDecoder != nil {
		return c.streamDecoder.Feed(data, c.handleStreamEvent)
	}
	if c.body = append(c.body, data...); len(c.body) > maxCompleteBody {
		return errResponseTooLarge
	}
	return nil
}

// handleStreamEvent relays a token, or hands the event to the owner.
func (c *engineConnection) handleStreamEvent(event []byte) {
	e := c.edge
	if !e.protocol.IsFinalEvent(event) && c.relay.forward(event, e.clock()) {
		return
	}
	e.inbox.put(engineLane, 1+len(event), func() { e.router.StreamEvent(c.state, event) })
}

// handleEnd ends a response. The connection is clean, and can carry a further request, where nothing follows: a complete
// response behind this one belongs to no request either.
func (c *engineConnection) handleEnd(lastPiece bool) {
	body, clean := c.body, lastPiece && c.parser.AtBoundary() && !c.closeAnnounced
	c.body = nil
	c.edge.inbox.put(engineLane, 1, func() { c.edge.router.ResponseComplete(c.state, body, clean) })
}
