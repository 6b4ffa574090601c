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

// reuseGuard holds back a new connection until its poller can have no event left of the connection that had the same
// descriptor before.
//
// A poller takes a batch of events from the kernel and handles them one by one, by descriptor. Where a connection is
// closed meanwhile by another goroutine, and the next one gets its descriptor, an event of the old one would be taken
// for the new one's; if it reports an end, the new connection is closed. So a connection is not made known to its poller
// before that has begun a batch that was taken after the connection came up.
type reuseGuard struct {
	mu      sync.Mutex
	markers []*batchMarker // one for each poller; nil before start
	stopped <-chan struct{}
}

// batchMarker tells when its poller begins a new batch of events. It is an event descriptor (eventfd) that the poller
// waits on like on any connection, and is readable while somebody waits.
type batchMarker struct {
	conn *nbio.Conn

	mu        sync.Mutex
	arrived   []chan struct{} // they came since the last event
	nextBatch []chan struct{} // they were there at the last event, so the next one is of a later batch
}

// eventfdConn is an event descriptor in the form that the socket library takes over.
type eventfdConn struct{ *os.File }

// eventfdAddr is an event descriptor's address, as the library needs one.
type eventfdAddr struct{}

func (eventfdAddr) Network() string      { return "eventfd" }
func (eventfdAddr) String() string       { return "batch marker" }
func (eventfdConn) LocalAddr() net.Addr  { return eventfdAddr{} }
func (eventfdConn) RemoteAddr() net.Addr { return eventfdAddr{} }

// start gives each poller of a running engine of the socket library its marker. The library picks a descriptor's poller
// by the descriptor's number, so markers are made until each poller has one.
func (g *reuseGuard) start(e *Edge, pollers *nbio.Engine) error {
	markers := make([]*batchMarker, e.pollersPerSide)
	var spare []*batchMarker // whose poller has one; kept until the end, so that their descriptors are not given out again
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
		if _, err := pollers.AddConn(marker.conn); err != nil { // it is closed by then
			return fmt.Errorf("watch an event descriptor: %w", err)
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.markers, g.stopped = markers, e.stopped
	return nil
}

// close ends all markers, once their pollers have stopped.
func (g *reuseGuard) close() {
	for _, marker := range g.markers {
		marker.close()
	}
}

// waitForFreshBatch returns once the poller of a connection that has just come up has no event from before.
func (g *reuseGuard) waitForFreshBatch(conn *nbio.Conn) {
	g.mu.Lock()
	markers, stopped := g.markers, g.stopped
	g.mu.Unlock()
	if len(markers) == 0 {
		return // the first connections: nothing has been closed yet
	}
	select {
	case <-markers[conn.Hash()%len(markers)].freshBatch():
	case <-stopped:
	}
}

func newBatchMarker() (*batchMarker, error) {
	descriptor, err := unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("make an event descriptor: %w", err)
	}
	conn, err := nbio.NBConn(eventfdConn{os.NewFile(uintptr(descriptor), "event descriptor")})
	if err != nil {
		return nil, fmt.Errorf("hand over an event descriptor: %w", err)
	}
	return &batchMarker{conn: conn}, nil
}

func (m *batchMarker) close() { syscall.Close(m.conn.Hash()) }

// freshBatch is closed once a batch of events has begun that was taken after the call.
func (m *batchMarker) freshBatch() <-chan struct{} {
	done := make(chan struct{})
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.arrived)+len(m.nextBatch) == 0 {
		if err := m.signal(); err != nil {
			close(done) // the edge has stopped
			return done
		}
	}
	m.arrived = append(m.arrived, done)
	return done
}

// onReadable runs on the poller. The descriptor stays readable, so that another event follows, while somebody waits.
func (m *batchMarker) onReadable() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, done := range m.nextBatch {
		close(done)
	}
	m.nextBatch, m.arrived = m.arrived, nil
	if len(m.nextBatch) == 0 {
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

// reset makes it unreadable. The read cannot fail: the poller has reported that it is readable, and nobody else reads.
func (m *batchMarker) reset() {
	var count [8]byte
	for {
		if _, err := syscall.Read(m.conn.Hash(), count[:]); !errors.Is(err, syscall.EINTR) {
			return
		}
	}
}
