package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// proxyFault is the fault that a proxy injects into the connections through it.
type proxyFault uint8

const (
	noFault            proxyFault = iota
	connectionsStalled            // no bytes and no closes are forwarded; new connections are accepted and stall, too
	connectionsRefused            // new connections are reset at once; open ones are not affected
	responsesCut                  // the first half of the next bytes of a response is forwarded, then the connection is reset
	responsesGarbled              // the bytes of a response are replaced by garbage, and the connection stays open
	requestsDelayed               // bytes from an edge are forwarded after requestDelay
)

func (f proxyFault) String() string {
	return [...]string{"no fault", "unresponsive", "refused", "responses cut", "responses garbled", "requests delayed"}[f]
}

const (
	requestDelay = 200 * time.Millisecond
	// garbage replaces the bytes of a garbled response.
	garbage = "\x00\x01noise\r\n\r\nHTTP/1.1 200"
	// pollInterval is how often a stalled connection is checked for a close by its sender.
	pollInterval = 5 * time.Millisecond
	// proxyBufferSize is the maximum number of bytes that are forwarded at once.
	proxyBufferSize = 16 << 10
)

// proxy forwards the connections of one group of edges to one engine, transparently for both sides.
type proxy struct {
	listener net.Listener
	target   string
	// onEdgeClosed, unless nil, is called when an edge has closed a connection, with the remote address that the engine sees.
	onEdgeClosed func(address string)

	mu          sync.Mutex
	fault       proxyFault
	connections map[*proxiedConnection]bool
	closed      bool
}

// proxiedConnection is a connection from an edge and the proxy's connection to the engine.
type proxiedConnection struct{ edge, target net.Conn }

func (c *proxiedConnection) reset() {
	resetConnection(c.edge)
	resetConnection(c.target)
}

// newProxy starts a proxy on an unused loopback port.
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

// setFault replaces the current fault.
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

// resetConnection closes a connection with RST.
func resetConnection(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // SetLinger fails only on a closed connection.
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

// serve connects to the engine and forwards bytes between it and an edge until both directions have ended.
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
	var directions sync.WaitGroup
	directions.Go(func() { p.forward(target, edge, true, target.LocalAddr().String()) })
	directions.Go(func() { p.forward(edge, target, false, "") })
	directions.Wait()
	p.unregister(c)
	edge.Close()
	target.Close()
}

// register adds a connection to those that resetAll resets. It returns false if the proxy has been closed.
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

// forward forwards the bytes of one direction. A close by the edge is reported to onEdgeClosed at once, and forwarded once
// connections are no longer stalled.
func (p *proxy) forward(to, from net.Conn, fromEdge bool, address string) {
	buffer := make([]byte, proxyBufferSize)
	for {
		n, err := from.Read(buffer)
		canForward := p.awaitForwarding(from)
		if (err != nil || !canForward) && fromEdge && p.onEdgeClosed != nil {
			p.onEdgeClosed(address)
		}
		if !canForward {
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
		case errors.Is(err, io.EOF) && fromEdge:
			// A network does not answer an end of sending: only the engine's own end, or a fault, ends the other direction.
			_ = to.(*net.TCPConn).CloseWrite() // It fails only on a closed connection.
			return
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

// awaitForwarding waits while connections are stalled and reports whether bytes from one side must be forwarded. It returns
// false if the proxy has been closed or if that side closed the connection during the stall: bytes not yet forwarded are lost.
func (p *proxy) awaitForwarding(from net.Conn) bool {
	for {
		fault, closed := p.state()
		if closed || fault != connectionsStalled {
			return !closed
		}
		if peerClosed(from) {
			return false
		}
		time.Sleep(pollInterval)
	}
}

// write applies the current fault to bytes and writes them to the other side. It returns false if the connection must be reset.
func (p *proxy) write(to net.Conn, data []byte, fromEdge bool) bool {
	fault, _ := p.state()
	switch {
	case fault == requestsDelayed && fromEdge:
		time.Sleep(requestDelay)
	case fault == responsesCut && !fromEdge:
		_, _ = to.Write(data[:len(data)/2]) // The connection is reset whether or not the write fails.
		return false
	case fault == responsesGarbled && !fromEdge:
		data = []byte(garbage)
	}
	_, err := to.Write(data)
	return err == nil
}

// peerClosed reports whether the peer has closed a connection, even if unread bytes are still buffered.
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
