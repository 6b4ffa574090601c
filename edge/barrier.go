package edge

import (
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
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

// sentinel is a pipe that its poller waits on like on any connection. Bytes in it stand for those who wait.
type sentinel struct {
	mu     sync.Mutex
	read   *nbio.Conn
	write  *os.File
	coming []chan struct{} // they came since the last event
	seen   []chan struct{} // they were there at the last event, so the next one is of a later row
}

// pipeAddr tells a sentinel from a connection when it is opened.
type pipeAddr struct{}

func (pipeAddr) Network() string { return "pipe" }
func (pipeAddr) String() string  { return "sentinel" }

// pipeConn is the reading end of a pipe in the form that the socket library takes over.
type pipeConn struct{ *os.File }

func (pipeConn) LocalAddr() net.Addr                { return pipeAddr{} }
func (pipeConn) RemoteAddr() net.Addr               { return pipeAddr{} }
func (p pipeConn) SetDeadline(t time.Time) error    { return p.File.SetDeadline(t) }
func (p pipeConn) SetReadDeadline(time.Time) error  { return nil }
func (p pipeConn) SetWriteDeadline(time.Time) error { return nil }

// start gives each poller of a running engine its sentinel.
func (b *barrier) start(n *Node, engine *nbio.Engine) error {
	row := make([]*sentinel, n.pollers)
	var spare []*os.File // pipes whose poller has one; their descriptors must not be tried again
	defer func() {
		for _, file := range spare {
			file.Close()
		}
	}()
	for found := 0; found < n.pollers; {
		s, err := newSentinel()
		if err != nil {
			return err
		}
		place := s.read.Hash() % n.pollers
		if row[place] != nil {
			spare = append(spare, s.write, os.NewFile(uintptr(s.read.Hash()), "spare"))
			continue
		}
		row[place] = s
		found++
		s.read.SetSession(s)
		n.connOpened()
		if _, err := engine.AddConn(s.read); err != nil {
			return fmt.Errorf("watch a pipe: %w", err)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pollers, b.stopping = row, n.done
	return nil
}

func newSentinel() (*sentinel, error) {
	r, w, err := os.Pipe()
	if err != nil {
		return nil, fmt.Errorf("make a pipe: %w", err)
	}
	read, err := nbio.NBConn(pipeConn{r})
	if err != nil {
		w.Close()
		return nil, fmt.Errorf("hand over a pipe: %w", err)
	}
	return &sentinel{read: read, write: w}, nil
}

// close ends all sentinels, once their pollers have stopped.
func (b *barrier) close() {
	for _, s := range b.pollers {
		s.write.Close()
		os.NewFile(uintptr(s.read.Hash()), "sentinel").Close()
	}
}

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
		if _, err := s.write.Write([]byte{0}); err != nil {
			close(done) // the node is stopping
			return done
		}
	}
	s.coming = append(s.coming, done)
	return done
}

// event runs on the poller. The pipe stays readable, so that another event follows, while somebody waits.
func (s *sentinel) event() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, done := range s.seen {
		close(done)
	}
	s.seen, s.coming = s.coming, nil
	if len(s.seen) == 0 {
		s.drain()
	}
}

// drain takes the one byte out of the pipe.
func (s *sentinel) drain() {
	var buffer [8]byte
	syscall.Read(s.read.Hash(), buffer[:]) // it is there: the poller has told so, and nobody else reads
}
