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

// barrier holds back a new connection until its poller has forgotten the descriptor's last one.
//
// A poller takes a row of events from the kernel and handles them one by one, by descriptor. Where a connection is
// closed meanwhile by another goroutine, and the next one gets its descriptor, an event of the old one would be taken
// for the new one's; if it tells of an end, the new connection is closed. So a connection is not made known to its
// poller before that has begun a row of events that was taken after the connection came up.
type barrier struct {
	mu       sync.Mutex
	pollers  []*sentinel // nil before Start
	stopping <-chan struct{}
}

// sentinel is an event descriptor (eventfd) that its poller waits on like on any connection. It is readable while
// somebody waits.
type sentinel struct {
	mu     sync.Mutex
	conn   *nbio.Conn
	coming []chan struct{} // they came since the last event
	seen   []chan struct{} // they were there at the last event, so the next one is of a later row
}

// eventConn is an event descriptor in the form that the socket library takes over.
type eventConn struct{ *os.File }

// eventAddr is an event descriptor's address, as it needs one.
type eventAddr struct{}

func (eventAddr) Network() string      { return "eventfd" }
func (eventAddr) String() string       { return "sentinel" }
func (eventConn) LocalAddr() net.Addr  { return eventAddr{} }
func (eventConn) RemoteAddr() net.Addr { return eventAddr{} }

// start gives each poller of a running engine its sentinel.
func (b *barrier) start(n *Node, engine *nbio.Engine) error {
	row := make([]*sentinel, n.pollers)
	var spare []*sentinel // whose poller has one; their descriptors must not be given out again at once
	defer func() {
		for _, s := range spare {
			s.close()
		}
	}()
	for found := 0; found < n.pollers; {
		s, err := newSentinel()
		if err != nil {
			return err
		}
		place := s.conn.Hash() % n.pollers
		if row[place] != nil {
			spare = append(spare, s)
			continue
		}
		row[place] = s
		found++
		s.conn.SetSession(s)
		n.connOpened()
		if _, err := engine.AddConn(s.conn); err != nil { // it is closed by then
			return fmt.Errorf("watch an event descriptor: %w", err)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pollers, b.stopping = row, n.done
	return nil
}

func newSentinel() (*sentinel, error) {
	counter, err := unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("make an event descriptor: %w", err)
	}
	conn, err := nbio.NBConn(eventConn{os.NewFile(uintptr(counter), "event descriptor")})
	if err != nil {
		return nil, fmt.Errorf("hand over an event descriptor: %w", err)
	}
	return &sentinel{conn: conn}, nil
}

// close ends all sentinels, once their pollers have stopped.
func (b *barrier) close() {
	for _, s := range b.pollers {
		s.close()
	}
}

func (s *sentinel) close() { syscall.Close(s.conn.Hash()) }

// wait returns once the poller of a connection that has just come up holds no event from before.
func (b *barrier) wait(conn *nbio.Conn) {
	b.mu.Lock()
	pollers, stopping := b.pollers, b.stopping
	b.mu.Unlock()
	if len(pollers) == 0 {
		return // the first connections: nothing has been closed yet
	}
	select {
	case <-pollers[conn.Hash()%len(pollers)].passed():
	case <-stopping:
	}
}

// passed is closed once a row of events has begun that was taken after the call.
func (s *sentinel) passed() <-chan struct{} {
	done := make(chan struct{})
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.coming)+len(s.seen) == 0 {
		if err := s.raise(); err != nil {
			close(done) // the node has stopped
			return done
		}
	}
	s.coming = append(s.coming, done)
	return done
}

// event runs on the poller. The descriptor stays readable, so that another event follows, while somebody waits.
func (s *sentinel) event() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, done := range s.seen {
		close(done)
	}
	s.seen, s.coming = s.coming, nil
	if len(s.seen) == 0 {
		s.lower()
	}
}

// raise makes the descriptor readable.
func (s *sentinel) raise() error {
	one := [8]byte{1}
	for {
		_, err := syscall.Write(s.conn.Hash(), one[:])
		if !errors.Is(err, syscall.EINTR) {
			return err
		}
	}
}

// lower makes it unreadable. The read cannot fail: the poller has told that it is readable, and nobody else reads.
func (s *sentinel) lower() {
	var count [8]byte
	for {
		if _, err := syscall.Read(s.conn.Hash(), count[:]); !errors.Is(err, syscall.EINTR) {
			return
		}
	}
}
