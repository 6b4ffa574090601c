package edge

import (
	"errors"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"

	"sandcourse/internal/admission"
	"sandcourse/internal/protocol/httpframing"
	"sandcourse/internal/router"
)

// clientConnection is one connection of a client, and the router.ClientSocket that package router sees. Its poller reads and
// parses requests; the owner answers them and decides when the connection closes. The two run side by side, so a close
// and a request may cross: see TryClose.
type clientConnection struct {
	edge  *Edge
	conn  *nbio.Conn
	state *router.ClientConnection // the owner's

	mu           sync.Mutex // held while bytes are read and parsed, and while the owner decides on a close
	parser       *httpframing.Parser
	request      *http.Request // whose body is being read
	body         []byte
	announced    bool // the owner has been notified of the request that is being read
	pending      int  // tasks that answer a request and wait for the owner
	closeDecided bool // by the owner; nothing is read any more

	discardInput atomic.Bool  // what still arrives is read and dropped
	bytesQueued  atomic.Int64 // handed to the socket
	bytesFlushed atomic.Int64 // taken by the kernel
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

// Flushed is whether the kernel has taken all that was sent.
func (c *clientConnection) Flushed() bool { return c.bytesFlushed.Load() >= c.bytesQueued.Load() }

// StopReading drops what still arrives, and what has arrived of an unfinished request.
func (c *clientConnection) StopReading() {
	c.discardInput.Store(true)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request, c.body = nil, nil
}

// Disconnected is whether the client has closed. The socket library marks a connection as closed once its poller has seen the
// end, and reports it later. Where the poller has not come to it, as in a process that was not run for a while, the
// kernel knows.
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

// closeSeen is whether this process has seen the connection's end.
func (c *clientConnection) closeSeen() bool {
	closed, _ := c.conn.IsClosed()
	return closed
}

// Close closes the connection at once.
func (c *clientConnection) Close() { c.conn.Close() }

// CloseIfIdle closes the connection unless a request has been read, in whole or in part, and is not answered yet. The owner
// calls it between requests. Reading and this decision exclude each other, so a request is either read and answered, or
// never read: then its client sees the close and retries elsewhere.
func (c *clientConnection) CloseIfIdle() bool {
	tasks, ok := c.decideClose()
	for _, t := range tasks {
		c.edge.inbox.put(clientLane, 0, t.run) // weight 0: the owner must not wait for itself
	}
	if !ok {
		return false
	}
	c.edge.reach(CloseDecided)
	c.conn.Close()
	return true
}

// decideClose is whether the connection may close; if not, tasks are what has been read meanwhile.
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

// readable runs on the poller when there is something to read.
func (c *clientConnection) readable() {
	c.edge.reach(ClientReadable)
	buffer := readBuffers.Get().(*[]byte)
	defer readBuffers.Put(buffer)
	for range maxReadsPerWakeup {
		tasks, more, err := c.read(*buffer)
		if len(tasks) > 0 {
			c.edge.reach(RequestParsed)
		}
		for _, t := range tasks {
			c.edge.inbox.put(clientLane, t.weight, t.run)
		}
		if err != nil {
			c.conn.Close()
		}
		if !more {
			return
		}
	}
}

// read reads and parses once. More is whether there may be further bytes.
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

// parse makes what was read into tasks for the owner, which sees complete requests only, and the start of others so
// that their timeouts run. The caller holds mu.
func (c *clientConnection) parse(data []byte) (tasks []task) {
	if c.discardInput.Load() {
		return nil
	}
	pieces, err := c.parser.Feed(data)
	for _, piece := range pieces {
		switch piece.Kind {
		case httpframing.Head:
			c.request, c.body = piece.Request, c.body[:0:0]
			if strings.EqualFold(piece.Request.Header.Get("Expect"), "100-continue") {
				tasks = append(tasks, task{1, func() { c.edge.router.ExpectContinue(c.state) }})
			}
		case httpframing.Body:
			c.body = append(c.body, piece.Data...)
		case httpframing.End:
			tasks = append(tasks, c.completeRequest())
		}
	}
	if err != nil {
		c.discardInput.Store(true)
		return append(tasks, c.requestTask(0, func() { c.edge.router.RejectMessage(c.state, err) }))
	}
	if c.parser.AtBoundary() {
		return tasks
	}
	return c.appendProgress(tasks)
}

// completeRequest ends the request that is being read. The caller holds mu.
func (c *clientConnection) completeRequest() task {
	request := c.edge.parseRequest(c.request, c.body)
	c.request, c.body, c.announced = nil, nil, false
	return c.requestTask(request.Bytes, func() { c.edge.router.ReceiveRequest(c.state, request) })
}

// appendProgress notifies the owner of how far an unfinished request has been read: once for its head, and for each
// part of its body. The caller holds mu.
func (c *clientConnection) appendProgress(tasks []task) []task {
	headComplete := c.request != nil
	if c.announced && !headComplete {
		return tasks
	}
	c.announced = true
	input, size := admission.HeaderStarted, len(c.body)+c.parser.Buffered()
	if headComplete {
		input = admission.HeaderComplete
	}
	return append(tasks, task{1, func() { c.edge.router.ReceivePartial(c.state, input, size) }})
}

// requestTask is work that answers something the client sent. Until the owner runs it the connection must not be
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

// parseRequest has the protocol read a complete request. It runs on a poller.
func (e *Edge) parseRequest(r *http.Request, body []byte) *router.ClientRequest {
	request := &router.ClientRequest{Request: r, Bytes: len(body)}
	request.Call, request.Caller, request.Rejection = e.protocol.ParseRequest(r, body)
	return request
}
