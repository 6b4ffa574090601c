package edge

import (
	"errors"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"

	"sandcourse/internal/admission"
	"sandcourse/internal/protocol/httpframing"
	"sandcourse/internal/router"
)

// client is one connection of a client. Its poller reads and parses requests, the owner answers them and
// decides when the connection closes. The two run side by side, so a close and a request may cross: see
// TryClose.
type client struct {
	node *Node
	conn *nbio.Conn
	core *router.ClientConnection

	mu      sync.Mutex // held while bytes are read and parsed, and while the owner decides on a close
	cutter  *httpframing.Parser
	request *http.Request // whose body is being read
	body    []byte
	begun   bool // the owner has been told of the request that is being read
	pending int  // messages handed to the owner that it has not taken yet
	closed  bool // the owner has decided to close; nothing is read any more

	discards atomic.Bool  // what still comes in is read and dropped
	queued   atomic.Int64 // bytes handed to the socket
	flushed  atomic.Int64 // bytes that the kernel took
}

// event is work for the owner, and its weight in the inbox.
type event struct {
	weight int
	run    func()
}

// Send hands bytes to the socket. A client that does not read is closed by the socket's bound.
func (c *client) Send(data []byte) error {
	c.queued.Add(int64(len(data)))
	_, err := c.conn.Write(data)
	return err
}

// Flushed is node.ClientSocket's.
func (c *client) Flushed() bool { return c.flushed.Load() >= c.queued.Load() }

// StopReading is node.ClientSocket's. What has come of an unfinished request is dropped.
func (c *client) StopReading() {
	c.discards.Store(true)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request, c.body = nil, nil
}

// Disconnected is node.ClientSocket's. The socket library marks a connection as closed once its poller has seen the end, and tells
// of it later. Where the poller has not come to it, as in a process that was not run for a while, the kernel knows.
func (c *client) Disconnected() bool {
	if c.ended() {
		return true
	}
	ask := []unix.PollFd{{Fd: int32(c.conn.Hash()), Events: unix.POLLRDHUP}}
	ready, err := unix.Poll(ask, 0)
	for errors.Is(err, unix.EINTR) {
		ready, err = unix.Poll(ask, 0)
	}
	return err == nil && ready > 0 && ask[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// ended is whether this side has seen the connection's end.
func (c *client) ended() bool {
	closed, _ := c.conn.IsClosed()
	return closed
}

// Close is node.ClientSocket's.
func (c *client) Close() { c.conn.Close() }

// CloseIfIdle closes the connection unless a request that its client sent has been read, whole or in part, and is
// not answered yet. It is called by the owner between requests. Reading and this decision exclude each other, so
// a request is either read and answered, or never read: then its client sees the close and asks elsewhere.
func (c *client) CloseIfIdle() bool {
	events, ok := c.decideClose()
	for _, e := range events {
		c.node.in.put(0, e.run) // weight 0: the owner must not wait for itself
	}
	if !ok {
		return false
	}
	c.node.pass(CloseDecided)
	c.conn.Close()
	return true
}

func (c *client) decideClose() (events []event, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.discards.Load() || c.ended() {
		c.closed = true
		return nil, true
	}
	if c.pending > 0 || !c.cutter.AtBoundary() {
		return nil, false
	}
	// What waits in the kernel is served: a close over unread bytes would reset the connection.
	buffer := readBuffers.Get().(*[]byte)
	defer readBuffers.Put(buffer)
	if size, _ := readOnce(c.conn, *buffer); size > 0 {
		return c.parse((*buffer)[:size]), false
	}
	c.closed = true
	return nil, true
}

func (n *Node) frontOpened(conn *nbio.Conn) {
	if _, ok := conn.Session().(*sentinel); ok {
		return
	}
	n.frontBarrier.wait(conn)
	c := &client{node: n, conn: conn,
		cutter: httpframing.NewParser(httpframing.Requests, httpframing.Limits{HeadBytes: n.d.MaxHeadBytes, BodyBytes: n.d.MaxBodyBytes})}
	c.core = &router.ClientConnection{ID: n.ids.Add(1), Socket: c}
	conn.SetSession(c)
	n.room.come()
	n.connOpened()
	n.in.put(0, func() { n.core.ClientOpened(c.core) })
}

func (n *Node) frontClosed(conn *nbio.Conn, _ error) {
	n.connUsed()
	if c, ok := conn.Session().(*client); ok {
		n.room.leave()
		n.in.put(0, func() { n.core.ClientDisconnected(c.core) })
	}
}

func (n *Node) frontWrote(conn *nbio.Conn, _ []byte, size int) {
	n.connUsed()
	if c, ok := conn.Session().(*client); ok {
		c.flushed.Add(int64(size))
	}
}

// readBuffers are shared by the pollers: a connection needs one only while it is read.
var readBuffers = sync.Pool{New: func() any { b := make([]byte, readSize); return &b }}

const (
	readSize = 16 << 10
	// readsAtOnce bounds how long one connection keeps its poller from the others. It covers the longest request.
	readsAtOnce = 20
)

// frontReadable runs on the connection's poller when there is something to read.
func (n *Node) frontReadable(conn *nbio.Conn) {
	n.connUsed()
	if s, ok := conn.Session().(*sentinel); ok {
		s.event()
		return
	}
	c, ok := conn.Session().(*client)
	if !ok {
		return
	}
	n.pass(Readable)
	buffer := readBuffers.Get().(*[]byte)
	defer readBuffers.Put(buffer)
	for range readsAtOnce {
		events, more, err := c.read(*buffer)
		if len(events) > 0 {
			n.pass(RequestRead)
		}
		for _, e := range events {
			n.in.put(e.weight, e.run)
		}
		if err != nil {
			conn.Close()
		}
		if !more {
			return
		}
	}
}

// errEnd says that the other side sends nothing more.
var errEnd = errors.New("the connection has ended")

// read takes bytes once. More says that there may be further ones.
func (c *client) read(buffer []byte) (events []event, more bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, false, nil
	}
	size, err := readOnce(c.conn, buffer)
	if size > 0 {
		events = c.parse(buffer[:size])
	}
	return events, size == len(buffer), err
}

// readOnce takes what is there, which may be nothing.
func readOnce(conn *nbio.Conn, buffer []byte) (size int, err error) {
	size, err = conn.Read(buffer)
	switch {
	case errors.Is(err, syscall.EINTR), errors.Is(err, syscall.EAGAIN):
		return 0, nil // the poller tells again of what is unread
	case err != nil:
		return 0, err
	case size == 0:
		return 0, errEnd
	}
	return size, nil
}

// parse makes what was read into work for the owner, who hears of whole requests only, and of the start of others
// so that their time runs. The caller holds mu.
func (c *client) parse(data []byte) (events []event) {
	if c.discards.Load() {
		return nil
	}
	n := c.node
	pieces, err := c.cutter.Feed(data)
	heads := 0
	for _, p := range pieces {
		switch p.Kind {
		case httpframing.Head:
			c.request, c.body = p.Request, c.body[:0:0]
			heads++
			if strings.EqualFold(p.Request.Header.Get("Expect"), "100-continue") {
				events = append(events, event{1, func() { n.core.ExpectContinue(c.core) }})
			}
		case httpframing.Body:
			c.body = append(c.body, p.Data...)
		case httpframing.End:
			a := n.readCall(c.request, c.body)
			c.request, c.body, c.begun, heads = nil, nil, false, 0
			events = append(events, c.message(a.Bytes, func() { n.core.ReceiveRequest(c.core, a) }))
		}
	}
	if err != nil {
		c.discards.Store(true)
		return append(events, c.message(0, func() { n.core.RejectMessage(c.core, err) }))
	}
	if c.cutter.AtBoundary() {
		return events
	}
	input, held := admission.HeaderStarted, len(c.body)+c.cutter.Buffered()
	if heads > 0 || c.request != nil {
		input = admission.HeaderComplete
	}
	if !c.begun || heads > 0 || c.request != nil {
		c.begun = true
		events = append(events, event{1, func() { n.core.ReceivePartial(c.core, input, held) }})
	}
	return events
}

// message is work that answers something the client sent. Until the owner takes it the connection must not be
// closed. The caller holds mu.
func (c *client) message(bytes int, run func()) event {
	c.pending++
	return event{1 + bytes, func() {
		c.mu.Lock()
		c.pending--
		c.mu.Unlock()
		run()
	}}
}

func (n *Node) readCall(r *http.Request, body []byte) *router.ClientRequest {
	a := &router.ClientRequest{Request: r, Bytes: len(body)}
	a.Call, a.Caller, a.Rejection = n.protocol.ParseRequest(r, body)
	return a
}
