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
	maxOpen  int
	closed   chan struct{}
}

func newConnectionLimit(maxOpen int) *connectionLimit {
	l := &connectionLimit{open: map[*nbio.Conn]struct{}{}, maxOpen: maxOpen, closed: make(chan struct{})}
	l.released = sync.NewCond(&l.mu)
	return l
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
	for len(l.open) >= l.maxOpen && !l.isClosed() {
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

// limitedListener accepts connections only while the limit has capacity.
type limitedListener struct {
	net.Listener
	limit *connectionLimit
}

// Accept delays the return of errors, because the socket library calls Accept again without a pause, even after the
// listener has been closed.
func (l limitedListener) Accept() (net.Conn, error) {
	l.limit.waitForCapacity()
	conn, err := l.Listener.Accept()
	switch {
	case errors.Is(err, net.ErrClosed):
		<-l.limit.closed
	case err != nil:
		time.Sleep(acceptRetryInterval)
	default:
		return l.convert(conn)
	}
	return conn, err
}

// convert turns an accepted connection into one of the socket library, which briefly needs another file descriptor. If none
// is free, it retries: an error would make the library reset the connection and lose the data sent by the client.
func (l limitedListener) convert(conn net.Conn) (net.Conn, error) {
	for {
		converted, err := nbio.NBConn(conn)
		if err == nil {
			return converted, nil
		}
		if !neterr.IsLocal(err) || l.limit.isClosed() {
			conn.Close()
			return nil, err
		}
		time.Sleep(acceptRetryInterval)
	}
}
