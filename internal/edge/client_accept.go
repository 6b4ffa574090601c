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
	// spareConnections are accepted over the settings' bound, so that the router can reject them with a response.
	spareConnections = 16
	// acceptRetryInterval is how long the listener rests after a connection could not be accepted, as when descriptors
	// have run out. Without it the accepting goroutine would spin until some are free.
	acceptRetryInterval = 10 * time.Millisecond
)

// connectionLimit counts clients' connections where they are accepted: many that connect at once must not take the
// process's descriptors before the owner has seen the first of them. Past the limit they wait in the kernel's queue.
// Any goroutine may use it.
type connectionLimit struct {
	mu       sync.Mutex
	released *sync.Cond
	open     map[*nbio.Conn]struct{}
	max      int
	closed   chan struct{}
}

func newConnectionLimit(max int) *connectionLimit {
	l := &connectionLimit{open: map[*nbio.Conn]struct{}{}, max: max, closed: make(chan struct{})}
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

// wait returns once there is capacity, or after close.
func (l *connectionLimit) wait() {
	l.mu.Lock()
	for len(l.open) >= l.max && !l.isClosed() {
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

// closeConnections closes all connections that are open.
func (l *connectionLimit) closeConnections() {
	l.mu.Lock()
	open := slices.Collect(maps.Keys(l.open))
	l.mu.Unlock()
	for _, conn := range open {
		conn.Close() // calls release
	}
}

// limitedListener accepts while there is capacity.
type limitedListener struct {
	net.Listener
	limit *connectionLimit
}

// Accept does not return errors at once: the socket library asks again without a pause, also after the listener has been
// closed.
func (l limitedListener) Accept() (net.Conn, error) {
	l.limit.wait()
	conn, err := l.Listener.Accept()
	switch {
	case errors.Is(err, net.ErrClosed):
		<-l.limit.closed
	case err != nil:
		time.Sleep(acceptRetryInterval)
	default:
		return l.adopt(conn)
	}
	return conn, err
}

// adopt makes an accepted connection one of the socket library's, which takes a descriptor more for a moment. Where there
// is none the client waits: the library would reset its connection, and what it has sent would be lost.
func (l limitedListener) adopt(conn net.Conn) (net.Conn, error) {
	for {
		adopted, err := nbio.NBConn(conn)
		if err == nil {
			return adopted, nil
		}
		if !neterr.IsLocal(err) || l.limit.isClosed() {
			conn.Close()
			return nil, err
		}
		time.Sleep(acceptRetryInterval)
	}
}
