package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Fault is what a proxy does to the connections that go through it.
type Fault uint8

// The faults.
const (
	Pass   Fault = iota
	Silent       // nothing passes, no connection ends, new ones come up and stay silent
	Refuse       // new connections are reset at once, open ones pass
	Cut          // an answer is cut in its middle, and its connection reset
	Spoil        // noise comes in place of an answer, and the connection stays open
	Late         // what nodes send comes some time later
)

// lateDelay is how much later what nodes send arrives on a late way.
const lateDelay = 200 * time.Millisecond

// garbage is what comes in place of an answer on a spoilt way.
const garbage = "\x00\x01noise\r\n\r\nHTTP/1.1 200"

// Proxy stands between the nodes of one group and one address. Both sides believe that they talk to each other.
type Proxy struct {
	listener net.Listener
	target   string
	// onNodeClosed is told when the node's side of a connection has ended, with the address by which the target knows it.
	onNodeClosed func(address string)

	mu     sync.Mutex
	fault  Fault
	links  map[*proxyLink]bool
	closed bool
}

type proxyLink struct{ node, target net.Conn }

// NewProxy listens on a port of its own.
func NewProxy(target string, onNodeClosed func(address string)) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, onNodeClosed: onNodeClosed, links: map[*proxyLink]bool{}}
	go p.run()
	return p, nil
}

// Addr is where nodes connect.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Set begins a fault, or ends it by Pass.
func (p *Proxy) Set(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

// ResetAll resets all open connections on both sides.
func (p *Proxy) ResetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		reset(l.node)
		reset(l.target)
	}
}

// Close ends it and its connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.listener.Close()
	p.ResetAll()
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}

func (p *Proxy) run() {
	for {
		node, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		go p.serve(node)
	}
}

// pollInterval is how often a silent connection is looked at for its end.
const pollInterval = 5 * time.Millisecond

// wait returns once bytes may pass that came from one side; false where they never will, as the proxy has been closed or
// that side has ended its connection meanwhile: what had not arrived by then is lost with it.
func (p *Proxy) wait(from net.Conn) bool {
	for {
		fault, closed := p.current()
		if closed || fault != Silent {
			return !closed
		}
		if isClosed(from) {
			return false
		}
		time.Sleep(pollInterval)
	}
}

func (p *Proxy) current() (fault Fault, closed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault, p.closed
}

// isClosed is whether the other side has ended a connection, though there may be bytes to read before that.
func isClosed(conn net.Conn) (ended bool) {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	err = raw.Control(func(fd uintptr) {
		ask := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		ready, err := unix.Poll(ask, 0)
		ended = err == nil && ready > 0 && ask[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return ended || err != nil
}

func (p *Proxy) serve(node net.Conn) {
	if fault, _ := p.current(); fault == Refuse {
		reset(node)
		return
	}
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(node)
		return
	}
	link := &proxyLink{node, target}
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		reset(node)
		reset(target)
		return
	}
	p.links[link] = true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.forward(target, node, true, target.LocalAddr().String()) })
	both.Go(func() { p.forward(node, target, false, "") })
	both.Wait()
	p.mu.Lock()
	delete(p.links, link)
	p.mu.Unlock()
	node.Close()
	target.Close()
}

// relay writes bytes to the other side, as the fault of the moment has them. False where the connection is to be reset.
func (p *Proxy) relay(to net.Conn, data []byte, fromNode bool) bool {
	fault, _ := p.current()
	switch {
	case fault == Late && fromNode:
		time.Sleep(lateDelay)
	case fault == Cut && !fromNode:
		to.Write(data[:len(data)/2])
		return false
	case fault == Spoil && !fromNode:
		data = []byte(garbage)
	}
	_, err := to.Write(data)
	return err == nil
}

// forward passes bytes on. The end of the node's side is told at once, and passed on when bytes may pass.
func (p *Proxy) forward(to, from net.Conn, fromNode bool, address string) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		passes := p.wait(from)
		if (err != nil || !passes) && fromNode && p.onNodeClosed != nil {
			p.onNodeClosed(address)
		}
		if !passes {
			reset(to)
			reset(from)
			return
		}
		if n > 0 && !p.relay(to, buffer[:n], fromNode) {
			reset(from)
			reset(to)
			return
		}
		switch {
		case errors.Is(err, io.EOF):
			to.Close()
			from.Close()
			return
		case err != nil:
			reset(to)
			return
		}
	}
}
