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

// A connection that this machine could not make is dialled again after a short backoff, which doubles.
const (
	dialBackoffMin = 5 * time.Millisecond
	dialBackoffMax = 40 * time.Millisecond
)

// engineSide dials engines, and has the pollers of the connections to them. Its callbacks run on the pollers.
type engineSide struct {
	edge    *Edge
	pollers *nbio.Engine
	reuse   reuseGuard
	dial    func(ctx context.Context, address string) (net.Conn, error) // set before Start
}

func (s *engineSide) start() error {
	s.pollers = nbio.NewEngine(nbio.Config{
		Name:               "engines",
		NPoller:            s.edge.pollersPerSide,
		MaxWriteBufferSize: 2 * s.edge.deployment.MaxBodyBytes, // a request, and its head with room to spare
	})
	s.pollers.OnOpen(s.opened)
	s.pollers.OnClose(s.closed)
	s.pollers.OnRead(s.readable)
	s.pollers.OnWrittenSize(s.written)
	if err := s.edge.retryStartup(s.pollers.Start); err != nil {
		return fmt.Errorf("start pollers of engines: %w", err)
	}
	if err := s.reuse.start(s.edge, s.pollers); err != nil {
		s.pollers.Stop()
		return err
	}
	return nil
}

// Dial connects to an engine, within the settings' time, and notifies the router of the outcome. The socket library's own dial
// takes an IPv4 address for 0.0.0.0, which reaches nothing but 127.0.0.1, and reports a refused connection as one that
// is there; so the standard library dials, and the connection is handed over.
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

// connect dials an engine, and hands the connection to a poller.
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

// dialWithRetry makes a connection within the settings' time. Where this machine lacks something for a moment, such as
// descriptors or ports, it retries until that time is over; the error then is a router.ErrLocal.
func (s *engineSide) dialWithRetry(address string) (*nbio.Conn, error) {
	e := s.edge
	ctx, cancel := context.WithTimeout(e.lifetime, e.deployment.Connections.DialTimeout)
	defer cancel()
	due := e.clock() + int64(e.deployment.Connections.DialTimeout)
	for backoff := dialBackoffMin; ; backoff = min(2*backoff, dialBackoffMax) {
		conn, err := s.dialOnce(ctx, address)
		if err != nil && ctx.Err() != nil && localpause.IsLate(e.clock(), due) {
			return nil, errors.Join(router.ErrLocal, err) // it may have come up while the process was not run
		}
		if err == nil || !neterr.IsLocal(err) && e.lifetime.Err() == nil {
			return conn, err
		}
		if sleep(ctx, backoff) != nil {
			return nil, errors.Join(router.ErrLocal, err)
		}
	}
}

// dialOnce makes a connection, and makes it one of the socket library's.
func (s *engineSide) dialOnce(ctx context.Context, address string) (*nbio.Conn, error) {
	dialled, err := s.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	conn, err := nbio.NBConn(dialled)
	if err != nil {
		dialled.Close()
		return nil, err
	}
	return conn, nil
}

// dialTCP makes a connection by the standard library.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

func (s *engineSide) opened(conn *nbio.Conn) {
	if _, ok := conn.Session().(*batchMarker); !ok {
		s.reuse.waitForFreshBatch(conn)
	}
}

func (s *engineSide) closed(conn *nbio.Conn, _ error) {
	e := s.edge
	e.sessions.acquire()
	if c, ok := conn.Session().(*engineConnection); ok {
		e.inbox.put(engineLane, 0, func() { e.router.EngineDisconnected(c.state) })
	}
}

func (s *engineSide) written(conn *nbio.Conn, _ []byte, size int) {
	s.edge.sessions.acquire()
	if c, ok := conn.Session().(*engineConnection); ok {
		c.bytesWritten.Add(int64(size))
	}
}

func (s *engineSide) readable(conn *nbio.Conn) {
	s.edge.sessions.acquire()
	switch session := conn.Session().(type) {
	case *batchMarker:
		session.onReadable()
	case *engineConnection:
		session.readable()
	}
}
