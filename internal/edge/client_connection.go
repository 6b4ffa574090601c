package edge

import (
	"errors"
	"sync"
	"sync/atomic"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"

	"sandcourse/internal/router"
)

// clientConnection is one client connection; it implements router.ClientSocket. Its poller reads and parses requests; the
// owner answers them and decides when to close the connection. Poller and owner run concurrently, so closing may race with
// the arrival of a request: see CloseIfIdle.
type clientConnection struct {
	edge  *Edge
	conn  *nbio.Conn
	state *router.ClientConnection // accessed only by the owner

	mu           sync.Mutex // held while bytes are read and parsed, and while the owner decides whether to close
	requests     requestReader
	pending      int  // number of tasks queued for the owner that answer a request
	closeDecided bool // the owner has decided to close the connection; nothing more is read

	discardInput atomic.Bool  // further input is read and dropped
	bytesQueued  atomic.Int64 // bytes passed to the socket
	bytesFlushed atomic.Int64 // bytes accepted by the kernel
}

// task is work for the owner, with its weight in the inbox.
type task struct {
	weight int
	run    func()
}

// Send writes bytes to the socket. If the client does not read, a full write buffer closes the connection.
func (c *clientConnection) Send(data []byte) error {
	c.bytesQueued.Add(int64(len(data)))
	_, err := c.conn.Write(data)
	return err
}

// Flushed reports whether the kernel has accepted all bytes passed to Send.
func (c *clientConnection) Flushed() bool { return c.bytesFlushed.Load() >= c.bytesQueued.Load() }

// StopReading drops all further input, and the part of an unfinished request that has been read.
func (c *clientConnection) StopReading() {
	c.discardInput.Store(true)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests.discard()
}

// Disconnected reports whether the client has closed the connection. The socket library marks a connection as closed once
// its poller has read the end of the stream, and calls the close callback later. The poller may not have run yet, for
// example if the process was paused, so the kernel is queried as well.
func (c *clientConnection) Disconnected() bool {
	if c.isClosed() {
		return true
	}
	polled := []unix.PollFd{{Fd: int32(c.conn.Hash()), Events: unix.POLLRDHUP}}
	ready, err := unix.Poll(polled, 0)
	for errors.Is(err, unix.EINTR) {
		ready, err = unix.Poll(polled, 0)
	}
	return err == nil && ready > 0 && polled[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// isClosed reports whether the socket library has marked the connection as closed.
func (c *clientConnection) isClosed() bool {
	closed, _ := c.conn.IsClosed()
	return closed
}

// Close closes the connection at once.
func (c *clientConnection) Close() { c.conn.Close() }

// CloseIfIdle closes the connection unless a request has been read, in whole or in part, and is not answered yet. The owner
// calls it between requests. The lock excludes reads while the owner decides, so a request is either read and answered, or
// never read; in the second case the client notices the close and retries elsewhere.
func (c *clientConnection) CloseIfIdle() bool {
	tasks, ok := c.decideClose()
	for _, t := range tasks {
		c.edge.inbox.put(clientLane, 0, t.run) // The weight is 0, as the owner must not block on its own inbox.
	}
	if !ok {
		return false
	}
	c.edge.reachSyncPoint(CloseDecided)
	c.conn.Close()
	return true
}

// decideClose reports whether the connection is to be closed; if not, it returns the tasks for input read during the check.
func (c *clientConnection) decideClose() (tasks []task, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeDecided || c.discardInput.Load() || c.isClosed() {
		c.closeDecided = true
		return nil, true
	}
	if c.pending > 0 || !c.requests.parser.AtBoundary() {
		return nil, false
	}
	// Bytes in the kernel's buffer are read and served, because closing a socket with unread bytes resets the connection.
	buffer := readBuffers.Get().(*[]byte)
	defer readBuffers.Put(buffer)
	if size, _ := readOnce(c.conn, *buffer); size > 0 {
		return c.parse((*buffer)[:size]), false
	}
	c.closeDecided = true
	return nil, true
}

// onReadable reads and parses input; it runs on the poller when the socket is readable.
func (c *clientConnection) onReadable() {
	c.edge.reachSyncPoint(ClientReadable)
	buffer := readBuffers.Get().(*[]byte)
	defer readBuffers.Put(buffer)
	for reads := 1; reads <= maxReadsPerWakeup; reads++ {
		tasks, more, err := c.read(*buffer)
		if len(tasks) > 0 {
			c.edge.reachSyncPoint(RequestParsed)
		}
		for _, t := range tasks {
			c.edge.inbox.put(clientLane, t.weight, t.run)
		}
		if err != nil {
			c.conn.Close()
		}
		if !more || reads >= fairReadsPerWakeup && !c.Disconnected() {
			return
		}
	}
}

// read reads and parses once; more reports whether there may be further bytes to read.
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

// parse turns input into tasks for the owner. The owner receives complete requests only; it is also notified of the start
// of incomplete ones, so that their timeouts run. The caller holds mu.
func (c *clientConnection) parse(data []byte) (tasks []task) {
	if c.discardInput.Load() {
		return nil
	}
	events, err := c.requests.read(data)
	for _, event := range events {
		tasks = append(tasks, c.eventTask(event))
	}
	if err != nil {
		c.discardInput.Store(true)
		tasks = append(tasks, c.requestTask(0, func() { c.edge.router.RejectMessage(c.state, err) }))
	}
	return tasks
}

// eventTask returns the task for an event of a request. The caller holds mu.
func (c *clientConnection) eventTask(event requestEvent) task {
	core := c.edge.router
	switch event.kind {
	case requestComplete:
		return c.requestTask(event.complete.Bytes, func() { core.ReceiveRequest(c.state, event.complete) })
	case requestUnfinished:
		return task{1 + event.growth, func() { core.ReceivePartial(c.state, event.progress.event, event.progress.memory) }}
	default:
		return task{1, func() { core.ExpectContinue(c.state) }}
	}
}

// requestTask returns a task that answers input from the client. The connection must not be closed until the owner has
// run the task. The caller holds mu.
func (c *clientConnection) requestTask(bytes int, run func()) task {
	c.pending++
	return task{1 + bytes, func() {
		c.mu.Lock()
		c.pending--
		c.mu.Unlock()
		run()
	}}
}
