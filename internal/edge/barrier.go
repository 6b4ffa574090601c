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

// reuseGuard holds back a new connection until its poller has forgotten the descriptor's last one.
//
// A poller takes a row of events from the kernel and handles them one by one, by descriptor. Where a connection is
// closed meanwhile by another goroutine, and the next one gets its descriptor, an event of the old one would be taken
// for the new one's; if it tells of an end, the new connection is closed. So a connection is not made known to its
// poller before that has begun a row of events that was taken after the connection came up.
type reuseGuard struct {
	mu       sync.Mutex
	markers  []*batchMarker // nil before Start
	stopping <-chan struct{}
}

// batchMarker is an event descriptor (eventfd) that its poller waits on like on any connection. It is readable while
// somebody waits.
type batchMarker struct {
	mu        sync.Mutex
	conn      *nbio.Conn
	arrived   []chan struct{} // they came since the last event
	nextBatch []chan struct{} // they were there at the last event, so the next one is of a later row
}

// eventfdConn is an event descriptor in the form that the socket library takes over.
type eventfdConn struct{ *os.File }

// eventfdAddr is an event descriptor's address, as it needs one.
type eventfdAddr struct{}

func (eventfdAddr) Network() string      { return "eventfd" }
func (eventfdAddr) String() string       { return "sentinel" }
func (eventfdConn) LocalAddr() net.Addr  { return eventfdAddr{} }
func (eventfdConn) RemoteAddr() net.Addr { return eventfdAddr{} }

// start gives each poller of a running engine its sentinel.
func (g *reuseGuard) start(e *Edge, engine *nbio.Engine) error {
	markers := make([]*batchMarker, e.pollersPerSide)
	var spare []*batchMarker // whose poller has one; their descriptors must not be given out again at once
	defer func() {
		for _, s := range spare {
			s.close()
		}
	}()
	for found := 0; found < e.pollersPerSide; {
		s, err := newBatchMarker()
		if err != nil {
			return err
		}
		place := s.conn.Hash() % e.pollersPerSide
		if markers[place] != nil {
			spare = append(spare, s)
			continue
		}
		markers[place] = s
		found++
		s.conn.SetSession(s)
		e.publishSession()
		if _, err := engine.AddConn(s.conn); err != nil { // it is closed by then
			return fmt.Errorf("watch an event descriptor: %w", err)
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.markers, g.stopping = markers, e.stopped
	return nil
}

func newBatchMarker() (*batchMarker, error) {
	counter, err := unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("make an event descriptor: %w", err)
	}
	conn, err := nbio.NBConn(eventfdConn{os.NewFile(uintptr(counter), "event descriptor")})
	if err != nil {
		return nil, fmt.Errorf("hand over an event descriptor: %w", err)
	}
	return &batchMarker{conn: conn}, nil
}

// close ends all sentinels, once their pollers have stopped.
func (g *reuseGuard) close() {
	for _, s := range g.markers {
		s.close()
	}
}

func (s *batchMarker) close() { syscall.Close(s.conn.Hash()) }

// waitForFreshBatch returns once the poller of a connection that has just come up holds no event from before.
func (g *reuseGuard) waitForFreshBatch(conn *nbio.Conn) {
	g.mu.Lock()
	markers, stopping := g.markers, g.stopping
	g.mu.Unlock()
	if len(markers) == 0 {
		return // the first connections: nothing has been closed yet
	}
	select {
	case <-markers[conn.Hash()%len(markers)].freshBatch():
	case <-stopping:
	}
}

// freshBatch is closed once a row of events has begun that was taken after the call.
func (s *batchMarker) freshBatch() <-chan struct{} {
	done := make(chan struct{})
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.arrived)+len(s.nextBatch) == 0 {
		if err := s.signal(); err != nil {
			close(done) // the node has stopped
			return done
		}
	}
	s.arrived = append(s.arrived, done)
	return done
}

// onReadable runs on the poller. The descriptor stays readable, so that another event follows, while somebody waits.
func (s *batchMarker) onReadable() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, done := range s.nextBatch {
		close(done)
	}
	s.nextBatch, s.arrived = s.arrived, nil
	if len(s.nextBatch) == 0 {
		s.reset()
	}
}

// signal makes the descriptor readable.
func (s *batchMarker) signal() error {
	one := [8]byte{1}
	for {
		_, err := syscall.Write(s.conn.Hash(), one[:])
		if !errors.Is(err, syscall.EINTR) {
			return err
		}
	}
}

// reset makes it unreadable. The read cannot fail: the poller has told that it is readable, and nobody else reads.
func (s *batchMarker) reset() {
	var count [8]byte
	for {
		if _, err := syscall.Read(s.conn.Hash(), count[:]); !errors.Is(err, syscall.EINTR) {
			return
		}
	}
}
