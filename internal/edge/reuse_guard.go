package edge

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

// reuseGuard delays the registration of a new connection until its poller can have no pending event of an earlier
// connection with the same file descriptor.
//
// A poller takes a batch of events from the kernel and handles them one by one, by descriptor. If another goroutine closes
// a connection during that, and a new connection gets its descriptor, an event of the old connection is attributed to the
// new one; if the event reports a close, the new connection is closed. Therefore a connection is registered with its poller
// only once the poller handles a batch that was taken after the connection was established.
type reuseGuard struct {
	mu      sync.Mutex
	markers []*batchMarker  // one per poller; nil before start
	stopped <-chan struct{} // closed when the edge stops
}

// batchMarker detects when its poller begins a new batch of events. It is an eventfd that the poller waits on like on any
// connection, and that is readable while a goroutine waits for a new batch.
type batchMarker struct {
	conn *nbio.Conn

	mu           sync.Mutex
	newWaiters   []chan struct{} // waiters added since the last event
	olderWaiters []chan struct{} // waiters added before the last event: the next event belongs to a later batch
}

// eventfdConn is an eventfd as a net.Conn, which the socket library requires.
type eventfdConn struct{ *os.File }

// eventfdAddr is the address of an eventfd, which the socket library requires.
type eventfdAddr struct{}

func (eventfdAddr) Network() string      { return "eventfd" }
func (eventfdAddr) String() string       { return "batch marker" }
func (eventfdConn) LocalAddr() net.Addr  { return eventfdAddr{} }
func (eventfdConn) RemoteAddr() net.Addr { return eventfdAddr{} }

// start registers a marker with each poller of a running nbio.Engine. The library selects the poller by the number of the
// descriptor, so markers are created until each poller has one.
func (g *reuseGuard) start(e *Edge, pollers *nbio.Engine) error {
	markers := make([]*batchMarker, e.pollersPerSide)
	var spare []*batchMarker // markers of pollers that have one already; kept open so that their descriptors are not reused
	defer func() {
		for _, marker := range spare {
			marker.close()
		}
	}()
	for found := 0; found < len(markers); {
		marker, err := newBatchMarker()
		if err != nil {
			return err
		}
		poller := marker.conn.Hash() % len(markers)
		if markers[poller] != nil {
			spare = append(spare, marker)
			continue
		}
		markers[poller] = marker
		found++
		marker.conn.SetSession(marker)
		e.sessions.publish()
		if _, err := pollers.AddConn(marker.conn); err != nil { // AddConn has closed the marker.
			return fmt.Errorf("register eventfd with poller: %w", err)
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.markers = markers
	return nil
}

// close closes all markers. It is called once their pollers have stopped.
func (g *reuseGuard) close() {
	for _, marker := range g.markers {
		marker.close()
	}
}

// waitForNewBatch returns once the poller of a new connection has no pending event from before the connection was
// established, or the edge has stopped.
func (g *reuseGuard) waitForNewBatch(conn *nbio.Conn) {
	select {
	case <-g.newBatch(conn):
	case <-g.stopped:
	}
}

// waitForCompleteBatch returns once the poller of a connection has handled all events that were pending at the time of the
// call, or the edge has stopped. The first wait ends while a batch that includes those events is handled, the second one during
// a later batch.
func (g *reuseGuard) waitForCompleteBatch(conn *nbio.Conn) {
	g.waitForNewBatch(conn)
	g.waitForNewBatch(conn)
}

// newBatch returns a channel that is closed once the poller of a new connection has no pending event from before the connection was
// established.
func (g *reuseGuard) newBatch(conn *nbio.Conn) <-chan struct{} {
	g.mu.Lock()
	markers := g.markers
	g.mu.Unlock()
	if len(markers) == 0 { // The method start has not finished, so no connection has been closed yet.
		ready := make(chan struct{})
		close(ready)
		return ready
	}
	return markers[conn.Hash()%len(markers)].notifyOnNewBatch()
}

func newBatchMarker() (*batchMarker, error) {
	descriptor, err := unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("create eventfd: %w", err)
	}
	conn, err := nbio.NBConn(eventfdConn{os.NewFile(uintptr(descriptor), "eventfd")})
	if err != nil {
		return nil, fmt.Errorf("convert eventfd to connection: %w", err)
	}
	return &batchMarker{conn: conn}, nil
}

func (m *batchMarker) close() { syscall.Close(m.conn.Hash()) }

// notifyOnNewBatch returns a channel that is closed once the poller handles a batch of events that was taken after the call.
func (m *batchMarker) notifyOnNewBatch() <-chan struct{} {
	done := make(chan struct{})
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.newWaiters)+len(m.olderWaiters) == 0 {
		if err := m.signal(); err != nil {
			close(done) // The edge has stopped.
			return done
		}
	}
	m.newWaiters = append(m.newWaiters, done)
	return done
}

// onReadable releases waiters on the poller. The descriptor stays readable while others wait, so that another event follows.
func (m *batchMarker) onReadable() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, done := range m.olderWaiters {
		close(done)
	}
	m.olderWaiters, m.newWaiters = m.newWaiters, nil
	if len(m.olderWaiters) == 0 {
		m.reset()
	}
}

// signal makes the descriptor readable.
func (m *batchMarker) signal() error {
	one := [8]byte{1}
	for {
		_, err := syscall.Write(m.conn.Hash(), one[:])
		if !errors.Is(err, syscall.EINTR) {
			return err
		}
	}
}

// reset makes the descriptor unreadable. The read cannot fail: the poller has reported it as readable, and only reset reads.
func (m *batchMarker) reset() {
	var count [8]byte
	for {
		if _, err := syscall.Read(m.conn.Hash(), count[:]); !errors.Is(err, syscall.EINTR) {
			return
		}
	}
}
