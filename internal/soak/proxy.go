package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// proxyFault is what a proxy does to the connections that go through it.
type proxyFault uint8

const (
	noFault            proxyFault = iota
	unresponsive                  // nothing passes, no connection ends, new ones are accepted and get nothing
	connectionsRefused            // new connections are reset at once, open ones pass
	responsesCut                  // a response is cut in its middle, and its connection reset
	responsesGarbled              // noise comes in place of a response, and the connection stays open
	requestsDelayed               // what edges send arrives requestDelay later
)

func (f proxyFault) String() string {
	return [...]string{"no fault", "unresponsive", "refused", "responses cut", "responses garbled", "requests delayed"}[f]
}

const (
	requestDelay = 200 * time.Millisecond
	// garbage is what comes in place of a response.
	garbage = "\x00\x01noise\r\n\r\nHTTP/1.1 200"
	// pollInterval is how often an unresponsive connection is checked for its end.
	pollInterval = 5 * time.Millisecond
	// proxyBufferSize is how many bytes of a connection are forwarded at once.
	proxyBufferSize = 16 << 10
)

// proxy stands between the edges of one group and one engine, and is noticed by neither.
type proxy struct {
	listener net.Listener
	target   string
	// onEdgeClosed is called when the edge's side of a connection has ended, with the address by which the engine knows it.
	onEdgeClosed func(address string)

	mu          sync.Mutex
	fault       proxyFault
	connections map[*proxiedConnection]bool
	closed      bool
}

// proxiedConnection is the two connections that the proxy joins.
type proxiedConnection struct{ edge, target net.Conn }

func (c *proxiedConnection) reset() {
	resetConnection(c.edge)
	resetConnection(c.target)
}

// newProxy starts a proxy that listens on a port of its own.
func newProxy(target string, onEdgeClosed func(address string)) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, onEdgeClosed: onEdgeClosed, connections: map[*proxiedConnection]bool{}}
	go p.accept()
	return p, nil
}

// addr returns the address to which edges connect.
func (p *proxy) addr() string { return p.listener.Addr().String() }

// setFault begins a fault, or ends it by noFault.
func (p *proxy) setFault(f proxyFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

// resetAll resets all open connections on both sides.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		c.reset()
	}
}

// close closes the listener and resets all connections.
func (p *proxy) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.listener.Close()
	p.resetAll()
}

// resetConnection closes a connection by RST.
func resetConnection(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails on a closed connection alone
	}
	conn.Close()
}

// accept serves connections until the listener is closed.
func (p *proxy) accept() {
	for {
		edge, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		go p.serve(edge)
	}
}

// serve joins an edge's connection to a new one to the engine until both have ended.
func (p *proxy) serve(edge net.Conn) {
	if fault, _ := p.state(); fault == connectionsRefused {
		resetConnection(edge)
		return
	}
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		resetConnection(edge)
		return
	}
	c := &proxiedConnection{edge, target}
	if !p.register(c) {
		c.reset()
		return
	}
	var both sync.WaitGroup
	both.Go(func() { p.forward(target, edge, true, target.LocalAddr().String()) })
	both.Go(func() { p.forward(edge, target, false, "") })
	both.Wait()
	p.unregister(c)
	edge.Close()
	target.Close()
}

// register adds a connection to those that resetAll resets; false where the proxy has been closed.
func (p *proxy) register(c *proxiedConnection) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.connections[c] = true
	return true
}

func (p *proxy) unregister(c *proxiedConnection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.connections, c)
}

func (p *proxy) state() (fault proxyFault, closed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault, p.closed
}

// forward passes bytes on in one direction. The end of the edge's side is notified at once, and passed on when bytes may pass.
func (p *proxy) forward(to, from net.Conn, fromEdge bool, address string) {
	buffer := make([]byte, proxyBufferSize)
	for {
		n, err := from.Read(buffer)
		passes := p.awaitPassing(from)
		if (err != nil || !passes) && fromEdge && p.onEdgeClosed != nil {
			p.onEdgeClosed(address)
		}
		if !passes {
			resetConnection(to)
			resetConnection(from)
			return
		}
		if n > 0 && !p.write(to, buffer[:n], fromEdge) {
			resetConnection(from)
			resetConnection(to)
			return
		}
		switch {
		case errors.Is(err, io.EOF):
			to.Close()
			from.Close()
			return
		case err != nil:
			resetConnection(to)
			return
		}
	}
}

// awaitPassing returns once bytes may pass that came from one side; false where they never will, as the proxy has been closed
// or that side has ended its connection meanwhile: what had not arrived by then is lost with it.
func (p *proxy) awaitPassing(from net.Conn) bool {
	for {
		fault, closed := p.state()
		if closed || fault != unresponsive {
			return !closed
		}
		if peerClosed(from) {
			return false
		}
		time.Sleep(pollInterval)
	}
}

// write writes bytes to the other side, changed by the current fault. False where the connection is to be reset.
func (p *proxy) write(to net.Conn, data []byte, fromEdge bool) bool {
	fault, _ := p.state()
	switch {
	case fault == requestsDelayed && fromEdge:
		time.Sleep(requestDelay)
	case fault == responsesCut && !fromEdge:
		_, _ = to.Write(data[:len(data)/2]) // the connection is reset in any case
		return false
	case fault == responsesGarbled && !fromEdge:
		data = []byte(garbage)
	}
	_, err := to.Write(data)
	return err == nil
}

// peerClosed is whether the other side has ended a connection, though there may be unread bytes before that.
func peerClosed(conn net.Conn) (closed bool) {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	err = raw.Control(func(fd uintptr) {
		events := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		ready, err := unix.Poll(events, 0)
		closed = err == nil && ready > 0 && events[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return closed || err != nil
}
