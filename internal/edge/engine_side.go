package edge

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/lesismal/nbio"

	"sandcourse/internal/localpause"
	"sandcourse/internal/neterr"
	"sandcourse/internal/router"
)

// A dial that failed for lack of resources on this machine is retried after a short backoff, which doubles each time.
const (
	dialBackoffMin = 5 * time.Millisecond
	dialBackoffMax = 40 * time.Millisecond
)

// engineSide dials engines, and holds the pollers of the engine connections. Its callbacks run on the pollers.
type engineSide struct {
	edge    *Edge
	pollers *nbio.Engine
	reuse   reuseGuard
	buffer  responseBuffer
	dial    func(ctx context.Context, address string) (net.Conn, error) // set before Start
}

func (s *engineSide) start() error {
	s.pollers = nbio.NewEngine(nbio.Config{
		Name:               "engines",
		NPoller:            s.edge.pollersPerSide,
		MaxWriteBufferSize: 2 * s.edge.deployment.MaxBodyBytes, // The buffer holds the head and the body of any request.
	})
	s.pollers.OnOpen(s.onOpen)
	s.pollers.OnClose(s.onClose)
	s.pollers.OnRead(s.onRead)
	s.pollers.OnWrittenSize(s.onWritten)
	if err := s.edge.retryStartup(s.pollers.Start); err != nil {
		return fmt.Errorf("start engine pollers: %w", err)
	}
	if err := s.reuse.start(s.edge, s.pollers); err != nil {
		s.pollers.Stop()
		return err
	}
	return nil
}

// Dial connects to an engine within the configured dial timeout, and notifies the router of the outcome. The connection is
// made with the standard library and then passed to the socket library, whose own dial is faulty: it treats an IPv4 address
// as 0.0.0.0, which reaches only 127.0.0.1, and reports a refused connection as established.
func (e *Edge) Dial(state *router.EngineConnection) {
	e.goroutines.Go(func() {
		c, err := e.engines.connect(state)
		if err != nil {
			e.inbox.put(engineLane, 0, func() { e.router.EngineConnected(state, nil, err) })
			return
		}
		e.inbox.put(engineLane, 0, func() { e.router.EngineConnected(state, c, nil) })
	})
}

// connect dials an engine, and registers the connection with a poller.
func (s *engineSide) connect(state *router.EngineConnection) (*engineConnection, error) {
	conn, err := s.dialWithRetry(state.Address)
	if err != nil {
		return nil, err
	}
	c := newEngineConnection(s.edge, state, conn)
	conn.SetSession(c)
	s.edge.sessions.publish()
	if _, err := s.pollers.AddConn(conn); err != nil {
		return nil, errors.Join(router.ErrLocal, err)
	}
	return c, nil
}

// dialWithRetry connects within the configured dial timeout. If a resource of this machine runs short, such as descriptors
// or ports, it retries until the timeout, and then returns an error that wraps router.ErrLocal.
func (s *engineSide) dialWithRetry(address string) (*nbio.Conn, error) {
	e := s.edge
	ctx, cancel := context.WithTimeout(e.lifetime, e.deployment.Connections.DialTimeout)
	defer cancel()
	due := e.clock() + int64(e.deployment.Connections.DialTimeout)
	for backoff := dialBackoffMin; ; backoff = min(2*backoff, dialBackoffMax) {
		conn, err := s.dialOnce(ctx, address)
		if err != nil && ctx.Err() != nil && localpause.IsLate(e.clock(), due) {
			return nil, errors.Join(router.ErrLocal, err) // The engine may have accepted while this process was paused.
		}
		if err == nil || !neterr.IsLocal(err) && e.lifetime.Err() == nil {
			return conn, err
		}
		if sleep(ctx, backoff) != nil {
			return nil, errors.Join(router.ErrLocal, err)
		}
	}
}

// dialOnce connects, and converts the connection to one of the socket library.
func (s *engineSide) dialOnce(ctx context.Context, address string) (*nbio.Conn, error) {
	dialed, err := s.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	conn, err := nbio.NBConn(dialed)
	if err != nil {
		dialed.Close()
		return nil, err
	}
	return conn, nil
}

// dialTCP connects with the standard library.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

func (s *engineSide) onOpen(conn *nbio.Conn) {
	if _, ok := conn.Session().(*batchMarker); !ok {
		s.reuse.waitForNewBatch(conn)
	}
}

func (s *engineSide) onClose(conn *nbio.Conn, err error) {
	e := s.edge
	e.sessions.acquire()
	if c, ok := conn.Session().(*engineConnection); ok {
		c.recordClose(err)
		c.share.release()
		e.inbox.put(engineLane, 0, func() { e.router.EngineDisconnected(c.state) })
	}
}

func (s *engineSide) onWritten(conn *nbio.Conn, _ []byte, size int) {
	s.edge.sessions.acquire()
	if c, ok := conn.Session().(*engineConnection); ok {
		c.bytesWritten.Add(int64(size))
	}
}

func (s *engineSide) onRead(conn *nbio.Conn) {
	s.edge.sessions.acquire()
	switch session := conn.Session().(type) {
	case *batchMarker:
		session.onReadable()
	case *engineConnection:
		session.onReadable()
	}
}
