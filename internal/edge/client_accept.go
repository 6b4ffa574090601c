package edge

import (
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/lesismal/nbio"

	"sandcourse/internal/neterr"
)

const (
	// spareConnections are accepted beyond the configured limit, so that the router can reject them with a response.
	spareConnections = 16
	// acceptRetryInterval is how long the listener pauses after a failed accept, for example when file descriptors have
	// run out. Without the pause the accepting goroutine would spin until a descriptor is free.
	acceptRetryInterval = 10 * time.Millisecond
)

// connectionLimit limits the number of open client connections: the listener accepts no more while the limit is reached, so
// that a burst of connections does not use up the process's file descriptors before the owner has handled the first of them.
// Connections over the limit wait in the kernel's accept queue. A connectionLimit is safe for concurrent use.
type connectionLimit struct {
	mu       sync.Mutex
	released *sync.Cond
	open     map[*nbio.Conn]struct{}
	accepted int // number of connections that are accepted and that the owner does not know of
	maxOpen  int
	closed   chan struct{}
}

func newConnectionLimit(maxOpen int) *connectionLimit {
	l := &connectionLimit{open: map[*nbio.Conn]struct{}{}, maxOpen: maxOpen, closed: make(chan struct{})}
	l.released = sync.NewCond(&l.mu)
	return l
}

// addAccepted adds to the number of connections that are accepted and that the owner does not know of.
func (l *connectionLimit) addAccepted(delta int) {
	l.mu.Lock()
	l.accepted += delta
	l.mu.Unlock()
	l.released.Broadcast()
}

// acceptedCount returns the number of connections that are accepted and that the owner does not know of.
func (l *connectionLimit) acceptedCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.accepted
}

func (l *connectionLimit) acquire(conn *nbio.Conn) {
	l.mu.Lock()
	l.open[conn] = struct{}{}
	l.mu.Unlock()
}

func (l *connectionLimit) release(conn *nbio.Conn) {
	l.mu.Lock()
	delete(l.open, conn)
	l.mu.Unlock()
	l.released.Broadcast()
}

// waitForCapacity blocks until another connection may be accepted, or until close is called.
func (l *connectionLimit) waitForCapacity() {
	l.mu.Lock()
	for len(l.open)+l.accepted >= l.maxOpen && !l.isClosed() {
		l.released.Wait()
	}
	l.mu.Unlock()
}

func (l *connectionLimit) isClosed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

func (l *connectionLimit) close() {
	l.mu.Lock()
	if !l.isClosed() {
		close(l.closed)
	}
	l.mu.Unlock()
	l.released.Broadcast()
}

// closeConnections closes all open connections.
func (l *connectionLimit) closeConnections() {
	l.mu.Lock()
	open := slices.Collect(maps.Keys(l.open))
	l.mu.Unlock()
	for _, conn := range open {
		conn.Close() // the close callback calls release
	}
}

// maxWaitingConnections is how many accepted connections may wait until they are registered with their pollers.
const maxWaitingConnections = 128

// acceptedConnection is an accepted connection, and a channel that is closed once it may be registered with its poller.
type acceptedConnection struct {
	conn  *nbio.Conn
	ready <-chan struct{}
}

// clientListener accepts the connections of clients while the limit has capacity. A connection has to wait for a new batch of events
// of its poller; others are accepted meanwhile, so that many connections wait for the same batch.
type clientListener struct {
	net.Listener
	limit   *connectionLimit
	reuse   *reuseGuard
	waiting chan acceptedConnection
	stopped <-chan struct{} // closed when the edge stops
}

func newClientListener(listener net.Listener, limit *connectionLimit, reuse *reuseGuard, stopped <-chan struct{}) *clientListener {
	return &clientListener{listener, limit, reuse, make(chan acceptedConnection, maxWaitingConnections), stopped}
}

// run accepts connections until the listener is closed.
func (l *clientListener) run() {
	defer close(l.waiting)
	for {
		l.limit.waitForCapacity()
		conn, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryInterval)
			continue
		}
		if converted := l.convert(conn); converted != nil {
			l.limit.addAccepted(1)
			l.waiting <- acceptedConnection{converted, l.reuse.newBatch(converted)}
		}
	}
}

// Accept returns the next connection once it may be registered. After the listener has been closed it returns only when the edge
// stops, because the socket library calls Accept again without a pause.
func (l *clientListener) Accept() (net.Conn, error) {
	next, ok := <-l.waiting
	if !ok {
		<-l.limit.closed
		return nil, net.ErrClosed
	}
	select {
	case <-next.ready:
	case <-l.stopped:
	}
	return next.conn, nil
}

// closeWaiting closes the connections that Accept has not returned. It is called when the listener is closed and the socket library
// calls Accept no more.
func (l *clientListener) closeWaiting() {
	for next := range l.waiting {
		next.conn.Close()
	}
}

// convert turns an accepted connection into one of the socket library, which briefly needs another file descriptor. If none
// is free, it retries: a failure would reset the connection and lose the data sent by the client. It returns nil if the edge stops.
func (l *clientListener) convert(conn net.Conn) *nbio.Conn {
	for {
		converted, err := nbio.NBConn(conn)
		if err == nil {
			return converted
		}
		if !neterr.IsLocal(err) || l.limit.isClosed() {
			conn.Close()
			return nil
		}
		time.Sleep(acceptRetryInterval)
	}
}
