package edge

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/lesismal/nbio"

	"sandcourse/internal/neterr"
)

// acceptPause is how long the listener rests after a connection could not be accepted, as when descriptors have
// run out. Without it the accepting goroutine would spin until some are free.
const acceptPause = 10 * time.Millisecond

// room counts clients' connections where they are accepted: a crowd that connects at once must not take the
// node's descriptors before its owner has seen the first of it. Past the bound they wait in the kernel's
// queue.
type room struct {
	mu     sync.Mutex
	freed  *sync.Cond
	open   int
	bound  int
	closed chan struct{}
}

func newRoom(bound int) *room {
	r := &room{bound: bound, closed: make(chan struct{})}
	r.freed = sync.NewCond(&r.mu)
	return r
}

func (r *room) come() {
	r.mu.Lock()
	r.open++
	r.mu.Unlock()
}

func (r *room) leave() {
	r.mu.Lock()
	r.open--
	r.mu.Unlock()
	r.freed.Broadcast()
}

func (r *room) wait() {
	r.mu.Lock()
	for r.open >= r.bound && !r.isClosed() {
		r.freed.Wait()
	}
	r.mu.Unlock()
}

func (r *room) isClosed() bool {
	select {
	case <-r.closed:
		return true
	default:
		return false
	}
}

func (r *room) close() {
	r.mu.Lock()
	if !r.isClosed() {
		close(r.closed)
	}
	r.mu.Unlock()
	r.freed.Broadcast()
}

// boundedListener accepts while there is room.
type boundedListener struct {
	net.Listener
	room *room
}

// Accept does not return errors at once: the socket library asks again without a pause, also after the listener
// has been closed.
func (l boundedListener) Accept() (net.Conn, error) {
	l.room.wait()
	conn, err := l.Listener.Accept()
	switch {
	case errors.Is(err, net.ErrClosed):
		<-l.room.closed
	case err != nil:
		time.Sleep(acceptPause)
	default:
		return l.handOver(conn)
	}
	return conn, err
}

// handOver makes an accepted connection one of the socket library's, which takes a descriptor more for a moment. Where
// there is none the client waits: the library would reset its connection, and what it has sent would be lost.
func (l boundedListener) handOver(conn net.Conn) (net.Conn, error) {
	for {
		handed, err := nbio.NBConn(conn)
		if err == nil {
			return handed, nil
		}
		if !neterr.IsLocal(err) || l.room.isClosed() {
			conn.Close()
			return nil, err
		}
		time.Sleep(acceptPause)
	}
}
