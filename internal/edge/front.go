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

// clientConnection is one connection of a client. Its poller reads and parses requests, the owner answers them and
// decides when the connection closes. The two run side by side, so a close and a request may cross: see
// TryClose.
type clientConnection struct {
	edge  *Edge
	conn  *nbio.Conn
	state *router.ClientConnection

	mu           sync.Mutex // held while bytes are read and parsed, and while the owner decides on a close
	parser       *httpframing.Parser
	request      *http.Request // whose body is being read
	body         []byte
	announced    bool // the owner has been told of the request that is being read
	pending      int  // messages handed to the owner that it has not taken yet
	closeDecided bool // the owner has decided to close; nothing is read any more

	discardInput atomic.Bool  // what still comes in is read and dropped
	bytesQueued  atomic.Int64 // bytes handed to the socket
	bytesFlushed atomic.Int64 // bytes that the kernel took
}

// task is work for the owner, and its weight in the inbox.
type task struct {
	weight int
	run    func()
}

// Send hands bytes to the socket. A client that does not read is closed by the socket's bound.
func (c *clientConnection) Send(data []byte) error {
	c.bytesQueued.Add(int64(len(data)))
	_, err := c.conn.Write(data)
	return err
}

// Flushed is node.ClientSocket's.
func (c *clientConnection) Flushed() bool { return c.bytesFlushed.Load() >= c.bytesQueued.Load() }

// StopReading is node.ClientSocket's. What has come of an unfinished request is dropped.
func (c *clientConnection) StopReading() {
	c.discardInput.Store(true)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request, c.body = nil, nil
}

// Disconnected is node.ClientSocket's. The socket library marks a connection as closed once its poller has seen the end, and tells
// of it later. Where the poller has not come to it, as in a process that was not run for a while, the kernel knows.
func (c *clientConnection) Disconnected() bool {
	if c.closeSeen() {
		return true
	}
	polled := []unix.PollFd{{Fd: int32(c.conn.Hash()), Events: unix.POLLRDHUP}}
	ready, err := unix.Poll(polled, 0)
	for errors.Is(err, unix.EINTR) {
		ready, err = unix.Poll(polled, 0)
	}
	return err == nil && ready > 0 && polled[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// closeSeen is whether this side has seen the connection's end.
func (c *clientConnection) closeSeen() bool {
	closed, _ := c.conn.IsClosed()
	return closed
}

// Close is node.ClientSocket's.
func (c *clientConnection) Close() { c.conn.Close() }

// CloseIfIdle closes the connection unless a request that its client sent has been read, whole or in part, and is
// not answered yet. It is called by the owner between requests. Reading and this decision exclude each other, so
// a request is either read and answered, or never read: then its client sees the close and asks elsewhere.
func (c *clientConnection) CloseIfIdle() bool {
	tasks, ok := c.decideClose()
	for _, t := range tasks {
		c.edge.inbox.put(0, t.run) // weight 0: the owner must not wait for itself
	}
	if !ok {
		return false
	}
	c.edge.reach(CloseDecided)
	c.conn.Close()
	return true
}

func (c *clientConnection) decideClose() (tasks []task, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeDecided || c.discardInput.Load() || c.closeSeen() {
		c.closeDecided = true
		return nil, true
	}
	if c.pending > 0 || !c.parser.AtBoundary() {
		return nil, false
	}
	// What waits in the kernel is served: a close over unread bytes would reset the connection.
	buffer := readBuffers.Get().(*[]byte)
	defer readBuffers.Put(buffer)
	if size, _ := readOnce(c.conn, *buffer); size > 0 {
		return c.parse((*buffer)[:size]), false
	}
	c.closeDecided = true
	return nil, true
}

func (e *Edge) clientOpened(conn *nbio.Conn) {
	if _, ok := conn.Session().(*batchMarker); ok {
		return
	}
	e.clientReuseGuard.waitForFreshBatch(conn)
	c := &clientConnection{edge: e, conn: conn,
		parser: httpframing.NewParser(httpframing.Requests, httpframing.Limits{HeadBytes: e.deployment.MaxHeadBytes, BodyBytes: e.deployment.MaxBodyBytes})}
	c.state = &router.ClientConnection{ID: e.lastClientID.Add(1), Socket: c}
	conn.SetSession(c)
	e.clientLimit.acquire()
	e.publishSession()
	e.inbox.put(0, func() { e.core.ClientOpened(c.state) })
}

func (e *Edge) clientClosed(conn *nbio.Conn, _ error) {
	e.acquireSession()
	if c, ok := conn.Session().(*clientConnection); ok {
		e.clientLimit.release()
		e.inbox.put(0, func() { e.core.ClientDisconnected(c.state) })
	}
}

func (e *Edge) clientWritten(conn *nbio.Conn, _ []byte, size int) {
	e.acquireSession()
	if c, ok := conn.Session().(*clientConnection); ok {
		c.bytesFlushed.Add(int64(size))
	}
}

// readBuffers are shared by the pollers: a connection needs one only while it is read.
var readBuffers = sync.Pool{New: func() any { b := make([]byte, readBufferSize); return &b }}

const (
	readBufferSize = 16 << 10
	// maxReadsPerWakeup bounds how long one connection keeps its poller from the others. It covers the longest request.
	maxReadsPerWakeup = 20
)

// clientReadable runs on the connection's poller when there is something to read.
func (e *Edge) clientReadable(conn *nbio.Conn) {
	e.acquireSession()
	if marker, ok := conn.Session().(*batchMarker); ok {
		marker.onReadable()
		return
	}
	c, ok := conn.Session().(*clientConnection)
	if !ok {
		return
	}
	e.reach(ClientReadable)
	buffer := readBuffers.Get().(*[]byte)
	defer readBuffers.Put(buffer)
	for range maxReadsPerWakeup {
		tasks, more, err := c.read(*buffer)
		if len(tasks) > 0 {
			e.reach(RequestParsed)
		}
		for _, t := range tasks {
			e.inbox.put(t.weight, t.run)
		}
		if err != nil {
			conn.Close()
		}
		if !more {
			return
		}
	}
}

// errPeerClosed says that the other side sends nothing more.
var errPeerClosed = errors.New("the connection has ended")

// read takes bytes once. More says that there may be further ones.
func (c *clientConnection) read(buffer []byte) (tasks []task, more bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeDecided {
		return nil, false, nil
	}
	size, err := readOnce(c.conn, buffer)
	if size > 0 {
		tasks = c.parse(buffer[:size])
	}
	return tasks, size == len(buffer), err
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
		return 0, errPeerClosed
	}
	return size, nil
}

// parse makes what was read into work for the owner, who hears of whole requests only, and of the start of others
// so that their time runs. The caller holds mu.
func (c *clientConnection) parse(data []byte) (tasks []task) {
	if c.discardInput.Load() {
		return nil
	}
	edge := c.edge
	pieces, err := c.parser.Feed(data)
	heads := 0
	for _, piece := range pieces {
		switch piece.Kind {
		case httpframing.Head:
			c.request, c.body = piece.Request, c.body[:0:0]
			heads++
			if strings.EqualFold(piece.Request.Header.Get("Expect"), "100-continue") {
				tasks = append(tasks, task{1, func() { edge.core.ExpectContinue(c.state) }})
			}
		case httpframing.Body:
			c.body = append(c.body, piece.Data...)
		case httpframing.End:
			request := edge.parseRequest(c.request, c.body)
			c.request, c.body, c.announced, heads = nil, nil, false, 0
			tasks = append(tasks, c.requestTask(request.Bytes, func() { edge.core.ReceiveRequest(c.state, request) }))
		}
	}
	if err != nil {
		c.discardInput.Store(true)
		return append(tasks, c.requestTask(0, func() { edge.core.RejectMessage(c.state, err) }))
	}
	if c.parser.AtBoundary() {
		return tasks
	}
	input, held := admission.HeaderStarted, len(c.body)+c.parser.Buffered()
	if heads > 0 || c.request != nil {
		input = admission.HeaderComplete
	}
	if !c.announced || heads > 0 || c.request != nil {
		c.announced = true
		tasks = append(tasks, task{1, func() { edge.core.ReceivePartial(c.state, input, held) }})
	}
	return tasks
}

// requestTask is work that answers something the client sent. Until the owner takes it the connection must not be
// closed. The caller holds mu.
func (c *clientConnection) requestTask(bytes int, run func()) task {
	c.pending++
	return task{1 + bytes, func() {
		c.mu.Lock()
		c.pending--
		c.mu.Unlock()
		run()
	}}
}

func (e *Edge) parseRequest(r *http.Request, body []byte) *router.ClientRequest {
	request := &router.ClientRequest{Request: r, Bytes: len(body)}
	request.Call, request.Caller, request.Rejection = e.protocol.ParseRequest(r, body)
	return request
}
