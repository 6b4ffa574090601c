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
	answerHead  = 16 << 10
	answerBody  = 64 << 20 // of a stream in all
	answerWhole = 1 << 20  // of an answer that is no stream
	eventBound  = 256 << 10
)

// link is one connection to an engine: the poller's part, and the socket that the core sees.
type link struct {
	n       *Node
	core    *router.EngineConnection
	conn    *nbio.Conn
	cutter  *httpframing.Parser
	events  *chat.Decoder // of the stream under way; nil where the answer is whole
	body    []byte
	relay   *relay // of the stream under way
	closes  bool   // the engine has said that it closes after this answer
	toWrite int64
	written atomic.Int64
}

// Write hands a request to the socket.
func (l *link) Write(request []byte) error {
	l.n.pass(AttemptChosen)
	l.written.Store(0)
	l.toWrite = int64(len(request))
	_, err := l.conn.Write(request)
	if err != nil { // it may have closed before its session was set
		l.n.in.put(0, func() { l.n.core.EngineDisconnected(l.core) })
	}
	return err
}

func (l *link) RequestWritten() bool { return l.written.Load() >= l.toWrite }

func (l *link) Close() { l.conn.Close() }

// Dial connects a line, within the settings' time. The socket library's own dial takes an IPv4 address for
// 0.0.0.0, which reaches nothing but 127.0.0.1, and tells a refused connection as one that is there; so the
// standard library dials, and the connection is handed over.
func (n *Node) Dial(core *router.EngineConnection) {
	failed := func(err error) { n.in.put(0, func() { n.core.EngineConnected(core, nil, err) }) }
	n.over.Go(func() {
		conn, err := n.connect(core.Host)
		if err != nil {
			failed(err)
			return
		}
		l := &link{n: n, core: core, conn: conn,
			cutter: httpframing.NewParser(httpframing.Responses, httpframing.Limits{HeadBytes: answerHead, BodyBytes: answerBody})}
		conn.SetSession(l)
		n.connOpened()
		if _, err = n.back.AddConn(conn); err != nil {
			failed(errors.Join(router.ErrLocal, err))
			return
		}
		n.in.put(0, func() { n.core.EngineConnected(core, l, nil) })
	})
}

// A connection that this machine could not make is tried again after a short pause, which doubles.
const (
	redialFirst = 5 * time.Millisecond
	redialMost  = 40 * time.Millisecond
)

// connect makes a connection within the settings' time. Where this machine lacks something for a moment, such as
// descriptors or ports, it is tried again until that time is over; the error then is a node.ErrLocal.
func (n *Node) connect(address string) (*nbio.Conn, error) {
	ctx, cancel := context.WithTimeout(n.alive, n.d.Connections.DialTimeout)
	defer cancel()
	for pause := redialFirst; ; pause = min(2*pause, redialMost) {
		conn, err := n.connectOnce(ctx, address)
		if err == nil || !neterr.IsLocal(err) && n.alive.Err() == nil {
			return conn, err
		}
		select {
		case <-ctx.Done():
			return nil, errors.Join(router.ErrLocal, err)
		case <-time.After(pause):
		}
	}
}

func (n *Node) connectOnce(ctx context.Context, address string) (*nbio.Conn, error) {
	dialled, err := n.dial(ctx, address)
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

func (n *Node) backClosed(conn *nbio.Conn, _ error) {
	n.connUsed()
	if l, ok := conn.Session().(*link); ok {
		n.in.put(0, func() { n.core.EngineDisconnected(l.core) })
	}
}

func (n *Node) backWrote(conn *nbio.Conn, _ []byte, size int) {
	n.connUsed()
	if l, ok := conn.Session().(*link); ok {
		l.written.Add(int64(size))
	}
}

func (n *Node) backOpened(conn *nbio.Conn) {
	if _, ok := conn.Session().(*sentinel); !ok {
		n.backBarrier.wait(conn)
	}
}

// backReadable runs on the connection's poller when there is something to read.
func (n *Node) backReadable(conn *nbio.Conn) {
	n.connUsed()
	if s, ok := conn.Session().(*sentinel); ok {
		s.event()
		return
	}
	l, ok := conn.Session().(*link)
	if !ok {
		return
	}
	buffer := readBuffers.Get().(*[]byte)
	defer readBuffers.Put(buffer)
	for range readsAtOnce {
		size, err := readOnce(conn, *buffer)
		if size > 0 {
			n.backData(l, (*buffer)[:size])
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

// backData cuts answers and streams.
func (n *Node) backData(l *link, data []byte) {
	pieces, err := l.cutter.Feed(data)
	n.pass(AnswerRead)
	for i, p := range pieces {
		switch p.Kind {
		case httpframing.Head:
			l.events, l.body, l.relay, l.closes = nil, nil, nil, p.Response.Close
			if chat.IsEventStream(p.Response.Header) {
				l.events, l.relay = chat.NewDecoder(eventBound), &relay{frame: n.protocol.StreamEvent}
				l.events.OnComment = func(text []byte) {
					n.in.put(1+len(text), func() { n.core.StreamComment(l.core, text) })
				}
			}
			head := p.Response
			var tokens router.Relay
			if l.relay != nil {
				tokens = l.relay
			}
			n.in.put(1, func() { n.core.ResponseHead(l.core, head, tokens) })
		case httpframing.Body:
			if l.events != nil {
				if e := l.events.Feed(p.Data, func(event []byte) {
					if !n.protocol.IsFinalEvent(event) && l.relay.pass(event, n.clock()) {
						return
					}
					n.in.put(1+len(event), func() { n.core.StreamEvent(l.core, event) })
				}); e != nil && err == nil {
					err = e
				}
			} else if l.body = append(l.body, p.Data...); len(l.body) > answerWhole && err == nil {
				err = errors.New("answer is over its bound")
			}
		case httpframing.End:
			// A whole answer that came behind this one belongs to nothing that was asked either.
			body, clean := l.body, l.cutter.AtBoundary() && i == len(pieces)-1 && !l.closes
			l.body = nil
			n.in.put(1, func() { n.core.ResponseComplete(l.core, body, clean) })
		}
	}
	if err != nil {
		n.in.put(1, func() { n.core.ResponseInvalid(l.core, err) })
	}
}
