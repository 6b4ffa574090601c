package edge

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"

	"sandcourse/internal/neterr"
	"sandcourse/internal/protocol/chat"
	"sandcourse/internal/protocol/httpframing"
	"sandcourse/internal/router"
)

// Bounds of what an engine may answer.
const (
	maxResponseHead = 16 << 10
	maxStreamBody   = 64 << 20 // of a stream in all
	maxCompleteBody = 1 << 20  // of an answer that is no stream
	maxStreamEvent  = 256 << 10
)

// engineConnection is one connection to an engine: the poller's part, and the socket that the core sees.
type engineConnection struct {
	edge           *Edge
	state          *router.EngineConnection
	conn           *nbio.Conn
	parser         *httpframing.Parser
	streamDecoder  *chat.Decoder // of the stream under way; nil where the answer is whole
	body           []byte
	relay          *relay // of the stream under way
	closeAnnounced bool   // the engine has said that it closes after this answer
	bytesToWrite   int64
	bytesWritten   atomic.Int64
}

// Write hands a request to the socket.
func (c *engineConnection) Write(request []byte) error {
	c.edge.reach(ConnectionAssigned)
	c.bytesWritten.Store(0)
	c.bytesToWrite = int64(len(request))
	_, err := c.conn.Write(request)
	if err != nil { // it may have closed before its session was set
		c.edge.inbox.put(0, func() { c.edge.core.EngineDisconnected(c.state) })
	}
	return err
}

func (c *engineConnection) RequestWritten() bool { return c.bytesWritten.Load() >= c.bytesToWrite }

func (c *engineConnection) Close() { c.conn.Close() }

// Dial connects a line, within the settings' time. The socket library's own dial takes an IPv4 address for
// 0.0.0.0, which reaches nothing but 127.0.0.1, and tells a refused connection as one that is there; so the
// standard library dials, and the connection is handed over.
func (e *Edge) Dial(state *router.EngineConnection) {
	failed := func(err error) { e.inbox.put(0, func() { e.core.EngineConnected(state, nil, err) }) }
	e.goroutines.Go(func() {
		conn, err := e.dialWithRetry(state.Host)
		if err != nil {
			failed(err)
			return
		}
		c := &engineConnection{edge: e, state: state, conn: conn,
			parser: httpframing.NewParser(httpframing.Responses, httpframing.Limits{HeadBytes: maxResponseHead, BodyBytes: maxStreamBody})}
		conn.SetSession(c)
		e.publishSession()
		if _, err = e.enginePollers.AddConn(conn); err != nil {
			failed(errors.Join(router.ErrLocal, err))
			return
		}
		e.inbox.put(0, func() { e.core.EngineConnected(state, c, nil) })
	})
}

// A connection that this machine could not make is tried again after a short pause, which doubles.
const (
	dialBackoffMin = 5 * time.Millisecond
	dialBackoffMax = 40 * time.Millisecond
)

// dialWithRetry makes a connection within the settings' time. Where this machine lacks something for a moment, such as
// descriptors or ports, it is tried again until that time is over; the error then is a node.ErrLocal.
func (e *Edge) dialWithRetry(address string) (*nbio.Conn, error) {
	ctx, cancel := context.WithTimeout(e.lifetime, e.deployment.Connections.DialTimeout)
	defer cancel()
	for pause := dialBackoffMin; ; pause = min(2*pause, dialBackoffMax) {
		conn, err := e.dialOnce(ctx, address)
		if err == nil || !neterr.IsLocal(err) && e.lifetime.Err() == nil {
			return conn, err
		}
		select {
		case <-ctx.Done():
			return nil, errors.Join(router.ErrLocal, err)
		case <-time.After(pause):
		}
	}
}

func (e *Edge) dialOnce(ctx context.Context, address string) (*nbio.Conn, error) {
	dialled, err := e.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	conn, err := nbio.NBConn(dialled)
	if err != nil {
		dialled.Close()
		return nil, err
	}
	return conn, nil
}

// dialTCP makes a connection by the standard library.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

func (e *Edge) engineClosed(conn *nbio.Conn, _ error) {
	e.acquireSession()
	if c, ok := conn.Session().(*engineConnection); ok {
		e.inbox.put(0, func() { e.core.EngineDisconnected(c.state) })
	}
}

func (e *Edge) engineWritten(conn *nbio.Conn, _ []byte, size int) {
	e.acquireSession()
	if c, ok := conn.Session().(*engineConnection); ok {
		c.bytesWritten.Add(int64(size))
	}
}

func (e *Edge) engineOpened(conn *nbio.Conn) {
	if _, ok := conn.Session().(*batchMarker); !ok {
		e.engineReuseGuard.waitForFreshBatch(conn)
	}
}

// engineReadable runs on the connection's poller when there is something to read.
func (e *Edge) engineReadable(conn *nbio.Conn) {
	e.acquireSession()
	if marker, ok := conn.Session().(*batchMarker); ok {
		marker.onReadable()
		return
	}
	c, ok := conn.Session().(*engineConnection)
	if !ok {
		return
	}
	buffer := readBuffers.Get().(*[]byte)
	defer readBuffers.Put(buffer)
	for range maxReadsPerWakeup {
		size, err := readOnce(conn, *buffer)
		if size > 0 {
			e.handleEngineData(c, (*buffer)[:size])
		}
		if err != nil {
			conn.Close()
			return
		}
		if size < len(*buffer) {
			return
		}
	}
}

// handleEngineData cuts answers and streams.
func (e *Edge) handleEngineData(c *engineConnection, data []byte) {
	pieces, err := c.parser.Feed(data)
	e.reach(ResponseRead)
	for i, piece := range pieces {
		switch piece.Kind {
		case httpframing.Head:
			c.streamDecoder, c.body, c.relay, c.closeAnnounced = nil, nil, nil, piece.Response.Close
			if chat.IsEventStream(piece.Response.Header) {
				c.streamDecoder, c.relay = chat.NewDecoder(maxStreamEvent), &relay{frame: e.protocol.StreamEvent}
				c.streamDecoder.OnComment = func(text []byte) {
					e.inbox.put(1+len(text), func() { e.core.StreamComment(c.state, text) })
				}
			}
			head := piece.Response
			var tokens router.Relay
			if c.relay != nil {
				tokens = c.relay
			}
			e.inbox.put(1, func() { e.core.ResponseHead(c.state, head, tokens) })
		case httpframing.Body:
			if c.streamDecoder != nil {
				if decodeErr := c.streamDecoder.Feed(piece.Data, func(event []byte) {
					if !e.protocol.IsFinalEvent(event) && c.relay.forward(event, e.clock()) {
						return
					}
					e.inbox.put(1+len(event), func() { e.core.StreamEvent(c.state, event) })
				}); decodeErr != nil && err == nil {
					err = decodeErr
				}
			} else if c.body = append(c.body, piece.Data...); len(c.body) > maxCompleteBody && err == nil {
				err = errors.New("answer is over its bound")
			}
		case httpframing.End:
			// A whole answer that came behind this one belongs to nothing that was asked either.
			body, clean := c.body, c.parser.AtBoundary() && i == len(pieces)-1 && !c.closeAnnounced
			c.body = nil
			e.inbox.put(1, func() { e.core.ResponseComplete(c.state, body, clean) })
		}
	}
	if err != nil {
		e.inbox.put(1, func() { e.core.ResponseInvalid(c.state, err) })
	}
}
