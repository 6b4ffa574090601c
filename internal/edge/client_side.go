package edge

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"

	"sandcourse/internal/protocol/httpframing"
	"sandcourse/internal/router"
)

// clientSide holds the listener and the pollers of the client connections. Its callbacks run on the pollers.
type clientSide struct {
	edge             *Edge
	listener         net.Listener
	accepted         *clientListener // nil before start
	limit            *connectionLimit
	pollers          *nbio.Engine
	reuse            reuseGuard
	lastConnectionID atomic.Int64
}

// listen binds the address that clients connect to. Connections wait in the kernel's accept queue until start is called.
func (s *clientSide) listen() error {
	address := s.edge.deployment.ChatAddress
	err := s.edge.retryStartup(func() (err error) {
		s.listener, err = net.Listen("tcp", address)
		return err
	})
	if err != nil {
		return fmt.Errorf("listen for clients on %s: %w", address, err)
	}
	return nil
}

// start starts to accept and serve clients.
func (s *clientSide) start() error {
	s.pollers = nbio.NewEngine(nbio.Config{
		Name:               "clients",
		Network:            "tcp",
		Addrs:              []string{s.listener.Addr().String()},
		NPoller:            s.edge.pollersPerSide,
		MaxWriteBufferSize: s.edge.deployment.ClientBufferBytes,
		Listen: func(string, string) (net.Listener, error) {
			s.accepted = newClientListener(s.listener, s.limit, &s.reuse, s.edge.stopped)
			s.edge.goroutines.Go(s.accepted.run)
			return s.accepted, nil
		},
	})
	s.pollers.OnOpen(s.onOpen)
	s.pollers.OnClose(s.onClose)
	s.pollers.OnRead(s.onRead)
	s.pollers.OnWrittenSize(s.onWritten)
	if err := s.pollers.Start(); err != nil {
		return fmt.Errorf("start client pollers: %w", err)
	}
	return s.reuse.start(s.edge, s.pollers)
}

// stop closes all connections and stops the pollers. The socket library closes only the connections that are registered when
// it begins to stop, and then waits until all are closed. A connection accepted at that moment is registered later, so stop
// closes the open connections repeatedly.
func (s *clientSide) stop() {
	stopped := make(chan struct{})
	go func() {
		s.pollers.Stop()
		close(stopped)
	}()
	for {
		select {
		case <-stopped:
			if s.accepted != nil { // The pollers were started.
				s.accepted.closeWaiting()
			}
			return
		case <-time.After(closePollInterval):
			s.limit.closeConnections()
		}
	}
}

func (s *clientSide) onOpen(conn *nbio.Conn) {
	if _, ok := conn.Session().(*batchMarker); ok {
		return
	}
	e := s.edge
	e.reachSyncPoint(ClientAccepted)
	limits := httpframing.Limits{HeadBytes: e.deployment.MaxHeadBytes, BodyBytes: e.deployment.MaxBodyBytes}
	parser := httpframing.NewParser(httpframing.Requests, limits)
	c := &clientConnection{edge: e, conn: conn, requests: requestReader{codec: e.protocol, parser: parser}}
	c.state = &router.ClientConnection{ID: s.lastConnectionID.Add(1), Socket: c}
	conn.SetSession(c)
	s.limit.acquire(conn)
	e.sessions.publish()
	e.inbox.put(clientLane, 0, func() { e.router.ClientOpened(c.state) })
	s.limit.addAccepted(-1)
}

func (s *clientSide) onClose(conn *nbio.Conn, _ error) {
	e := s.edge
	e.sessions.acquire()
	if c, ok := conn.Session().(*clientConnection); ok {
		s.limit.release(conn)
		e.inbox.put(clientLane, 0, func() { e.router.ClientDisconnected(c.state) })
	}
}

func (s *clientSide) onWritten(conn *nbio.Conn, _ []byte, size int) {
	s.edge.sessions.acquire()
	if c, ok := conn.Session().(*clientConnection); ok {
		c.bytesFlushed.Add(int64(size))
	}
}

func (s *clientSide) onRead(conn *nbio.Conn) {
	s.edge.sessions.acquire()
	switch session := conn.Session().(type) {
	case *batchMarker:
		session.onReadable()
	case *clientConnection:
		session.onReadable()
	}
}

const (
	readBufferSize = 16 << 10
	// fairReadsPerWakeup is how often a client's connection is read before its poller turns to the next one, which it does not if
	// the client has closed the connection: the socket library then closes it at once, whatever is still unread.
	fairReadsPerWakeup = 2
	// maxReadsPerWakeup bounds how long one connection occupies its poller. It is enough for the longest request.
	maxReadsPerWakeup = 20
)

// readBuffers is shared by the pollers: a connection needs a buffer only while it is read.
var readBuffers = sync.Pool{New: func() any { b := make([]byte, readBufferSize); return &b }}

// errPeerClosed means that the peer has closed its sending side of the connection.
var errPeerClosed = errors.New("connection closed by peer")

// readOnce reads available bytes without blocking; size is 0 if no bytes are available.
func readOnce(conn *nbio.Conn, buffer []byte) (size int, err error) {
	size, err = conn.Read(buffer)
	switch {
	case errors.Is(err, syscall.EINTR), errors.Is(err, syscall.EAGAIN):
		return 0, nil // The poller reports unread bytes again.
	case err != nil:
		return 0, err
	case size == 0:
		return 0, errPeerClosed
	}
	return size, nil
}
