package edge

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"syscall"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"

	"sandcourse/internal/protocol/chat"
	"sandcourse/internal/protocol/httpframing"
	"sandcourse/internal/router"
)

// Limits on the responses of engines, in bytes.
const (
	maxResponseHead = 16 << 10
	maxStreamBody   = 64 << 20 // all events of a stream together
	maxCompleteBody = 1 << 20  // the body of a response that is not a stream
	maxStreamEvent  = 256 << 10
)

// errResponseTooLarge means that the body of a non-stream response exceeds maxCompleteBody. The error text may be sent to a
// client.
var errResponseTooLarge = errors.New("answer is over its bound")

// engineConnection is one connection to an engine; it implements router.EngineSocket. Its poller parses responses; the
// owner writes requests.
type engineConnection struct {
	edge  *Edge
	state *router.EngineConnection // accessed only by the owner
	conn  *nbio.Conn

	// Accessed only by the poller.
	parser         *httpframing.Parser
	streamDecoder  *chat.EventDecoder // decoder of the current stream; nil if the response is not a stream
	body           []byte             // body of a response that is not a stream
	relay          *tokenRelay        // relay of the current stream
	closeAnnounced bool               // the engine closes the connection after this response
	share          responseShare      // memory of the incomplete response
	failed         bool               // the response is invalid; the owner closes the connection, and further input is dropped

	bytesToWrite int64 // accessed only by the owner
	bytesWritten atomic.Int64
	sendingEnded atomic.Bool   // set by the owner
	end          atomic.Uint32 // a router.ConnectionEnd; set by the poller before the connection is closed
}

func newEngineConnection(e *Edge, state *router.EngineConnection, conn *nbio.Conn) *engineConnection {
	limits := httpframing.Limits{HeadBytes: maxResponseHead, BodyBytes: maxStreamBody}
	return &engineConnection{edge: e, state: state, conn: conn, parser: httpframing.NewParser(httpframing.Responses, limits),
		share: responseShare{buffer: &e.engines.buffer}}
}

// Write writes a request to the socket.
func (c *engineConnection) Write(request []byte) error {
	c.edge.reachSyncPoint(ConnectionAssigned)
	c.bytesWritten.Store(0)
	c.bytesToWrite = int64(len(request))
	_, err := c.conn.Write(request)
	if err != nil { // If the connection closed before its session was set, no close callback follows.
		c.edge.inbox.put(engineLane, 0, func() { c.edge.router.EngineDisconnected(c.state) })
	}
	return err
}

// RequestWritten reports whether the kernel has accepted the whole request.
func (c *engineConnection) RequestWritten() bool { return c.bytesWritten.Load() >= c.bytesToWrite }

// ConfirmInput returns false: the poller may have input that it has not read. The router is notified once it has none.
func (c *engineConnection) ConfirmInput() bool {
	e := c.edge
	e.goroutines.Go(func() {
		e.engines.reuse.waitForCompleteBatch(c.conn)
		e.inbox.put(engineLane, 0, func() { e.router.EngineInputConfirmed(c.state) })
	})
	return false
}

// EndSending ends the sending direction. The lock keeps the library from closing the descriptor, which another connection could
// get, before the call.
func (c *engineConnection) EndSending() bool {
	if !c.RequestWritten() {
		return false
	}
	c.sendingEnded.Store(true)
	c.conn.Lock()
	defer c.conn.Unlock()
	closed, _ := c.conn.IsClosed()
	return !closed && unix.Shutdown(c.conn.Hash(), unix.SHUT_WR) == nil
}

// End returns how the connection has ended.
func (c *engineConnection) End() router.ConnectionEnd { return router.ConnectionEnd(c.end.Load()) }

// Close closes the connection at once.
func (c *engineConnection) Close() { c.conn.Close() }

// onReadable reads and parses responses; it runs on the poller when the socket is readable.
func (c *engineConnection) onReadable() {
	buffer := readBuffers.Get().(*[]byte)
	defer readBuffers.Put(buffer)
	for range maxReadsPerWakeup {
		size, err := readOnce(c.conn, *buffer)
		if size > 0 {
			c.handleData((*buffer)[:size])
		}
		if err != nil {
			c.end.Store(uint32(connectionEnd(err)))
			c.conn.Close()
			return
		}
		// The library may close the connection right after this call, so its end has to be read within the call.
		if size == 0 || size < len(*buffer) && !c.sendingEnded.Load() {
			return
		}
	}
}

// connectionEnd returns what the error of a read says about the end of its connection. Other errors than a reset, such as a timeout of
// the network, say nothing about the engine.
func connectionEnd(err error) router.ConnectionEnd {
	switch {
	case errors.Is(err, errPeerClosed):
		return router.EndedByPeer
	case errors.Is(err, syscall.ECONNRESET):
		return router.EndReset
	}
	return router.EndUnknown
}

// recordClose records the end of a connection that the library has closed. It does so, with io.EOF, when the kernel reports an end or
// an error, which may be a moment before a reset can be read.
func (c *engineConnection) recordClose(err error) {
	if errors.Is(err, io.EOF) {
		c.end.CompareAndSwap(uint32(router.EndUnknown), uint32(router.EndReset))
	}
}

// handleData parses bytes from the engine into tasks for the owner, and relays tokens.
func (c *engineConnection) handleData(data []byte) {
	if c.failed {
		return
	}
	pieces, err := c.parser.Feed(data)
	c.edge.reachSyncPoint(ResponseRead)
	for i, piece := range pieces {
		switch piece.Kind {
		case httpframing.Head:
			c.handleHead(piece.Response, piece.Size)
		case httpframing.Body:
			if bodyErr := c.handleBody(piece.Data); err == nil {
				err = bodyErr
			}
		case httpframing.End:
			c.handleEnd(i == len(pieces)-1)
		}
	}
	if shareErr := c.countMemory(); err == nil {
		err = shareErr
	}
	if err != nil {
		c.fail(err)
	}
}

// fail frees the memory of an invalid response, and notifies the owner.
func (c *engineConnection) fail(err error) {
	c.failed, c.streamDecoder, c.body = true, nil, nil
	c.share.release()
	c.edge.inbox.put(engineLane, 1, func() { c.edge.router.ResponseInvalid(c.state, err) })
}

// countMemory counts the memory of the incomplete response. The share of a connection that was closed meanwhile is released
// here, as its close callback may have run before.
func (c *engineConnection) countMemory() error {
	size := c.parser.Buffered() + cap(c.body)
	if c.streamDecoder != nil {
		size += c.streamDecoder.Buffered()
	}
	err := c.share.set(size)
	if closed, _ := c.conn.IsClosed(); closed {
		c.share.release()
	}
	return err
}

// handleHead handles the head of a response, whose encoded size is given.
func (c *engineConnection) handleHead(head *http.Response, size int) {
	e := c.edge
	c.streamDecoder, c.body, c.relay, c.closeAnnounced = nil, nil, nil, head.Close
	var relay router.Relay // The relay is a nil interface, not a nil *tokenRelay, if the response is not a stream.
	if chat.IsEventStream(head.Header) {
		c.streamDecoder, c.relay = chat.NewEventDecoder(maxStreamEvent), &tokenRelay{encodeEvent: e.protocol.StreamEvent}
		c.streamDecoder.OnComment = func(text []byte) {
			e.inbox.put(engineLane, 1+len(text), func() { e.router.StreamComment(c.state, text) })
		}
		relay = c.relay
	}
	e.inbox.put(engineLane, size, func() { e.router.ResponseHead(c.state, head, relay) })
}

// handleBody handles a part of a response's body.
func (c *engineConnection) handleBody(data []byte) error {
	if c.streamDecoder != nil {
		return c.streamDecoder.Feed(data, c.handleStreamEvent)
	}
	if c.body = append(c.body, data...); len(c.body) > maxCompleteBody {
		return errResponseTooLarge
	}
	return nil
}

// handleStreamEvent relays a token, or passes the event to the owner.
func (c *engineConnection) handleStreamEvent(event []byte) {
	e := c.edge
	if !e.protocol.IsFinalEvent(event) && c.relay.forward(event, e.clock()) {
		return
	}
	e.inbox.put(engineLane, 1+len(event), func() { e.router.StreamEvent(c.state, event) })
}

// handleEnd handles the end of a response. The connection is reusable for another request only if no bytes follow the
// response: even a complete second response belongs to no request.
func (c *engineConnection) handleEnd(isLastPiece bool) {
	body, reusable := c.body, isLastPiece && c.parser.AtBoundary() && !c.closeAnnounced
	c.body = nil
	c.edge.inbox.put(engineLane, 1+len(body), func() { c.edge.router.ResponseComplete(c.state, body, reusable) })
}
