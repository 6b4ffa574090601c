package edge

import (
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/lesismal/nbio"

	"sandcourse/framing"
	"sandcourse/limits"
	"sandcourse/node"
)

// client is one connection of a client: the poller's part, and the socket that the core sees.
type client struct {
	nb      *nbio.Conn
	core    *node.Client
	cutter  *framing.Cutter
	request *http.Request
	body    []byte
	refused atomic.Bool  // nothing more is read
	queued  atomic.Int64 // bytes handed to the socket
	flushed atomic.Int64 // bytes that the kernel took
}

// Send hands bytes to the socket. A client that does not read is closed by the socket's bound.
func (c *client) Send(data []byte) error {
	c.queued.Add(int64(len(data)))
	_, err := c.nb.Write(data)
	return err
}

func (c *client) Drained() bool { return c.flushed.Load() >= c.queued.Load() }

func (c *client) StopReading() { c.refused.Store(true) }

func (c *client) Close() { c.nb.Close() }

func (n *Node) frontOpened(nb *nbio.Conn) {
	c := &client{nb: nb, cutter: framing.New(framing.Requests, framing.Bounds{Head: n.d.Head, Body: n.d.Body})}
	c.core = &node.Client{ID: n.ids.Add(1), Socket: c}
	nb.SetSession(c)
	n.room.come()
	n.connOpened()
	n.in.put(0, func() { n.core.ClientOpened(c.core) })
}

func (n *Node) frontClosed(nb *nbio.Conn, _ error) {
	n.connUsed()
	if c, ok := nb.Session().(*client); ok {
		n.room.leave()
		n.in.put(0, func() { n.core.ClientGone(c.core) })
	}
}

func (n *Node) frontWrote(nb *nbio.Conn, _ []byte, size int) {
	n.connUsed()
	if c, ok := nb.Session().(*client); ok {
		c.flushed.Add(int64(size))
	}
}

// frontData runs on the connection's poller: it reads messages and calls, the owner only hears of whole ones,
// and of the start of others so that their time runs.
func (n *Node) frontData(nb *nbio.Conn, data []byte) {
	n.connUsed()
	c, ok := nb.Session().(*client)
	if !ok || c.refused.Load() {
		return
	}
	fresh := c.cutter.Between()
	pieces, err := c.cutter.Feed(data)
	heads := 0
	for _, p := range pieces {
		switch p.Kind {
		case framing.Head:
			c.request, c.body = p.Request, c.body[:0:0]
			heads++
			if strings.EqualFold(p.Request.Header.Get("Expect"), "100-continue") {
				n.in.put(1, func() { c.Send([]byte("HTTP/1.1 100 Continue\r\n\r\n")) })
			}
		case framing.Body:
			c.body = append(c.body, p.Data...)
		case framing.End:
			a := n.readCall(c.request, c.body)
			c.request, c.body, heads = nil, nil, 0
			n.in.put(1+a.Bytes, func() { n.core.Ask(c.core, a) })
		}
	}
	if err != nil {
		c.refused.Store(true)
		n.in.put(1, func() { n.core.RefuseMessage(c.core, err) })
		return
	}
	if c.cutter.Between() {
		return
	}
	input, held := limits.HeadBegan, len(c.body)+c.cutter.Held()
	if heads > 0 || c.request != nil {
		input = limits.HeadWhole
	}
	if fresh || heads > 0 || c.request != nil {
		n.in.put(1, func() { n.core.Reading(c.core, input, held) })
	}
}

func (n *Node) readCall(r *http.Request, body []byte) *node.Asked {
	a := &node.Asked{Request: r, Bytes: len(body)}
	a.Call, a.Party, a.Wrong = n.speaks.Parse(r, body)
	return a
}

// room counts clients' connections where they are accepted: a crowd that connects at once must not take the
// node's descriptors before its owner has seen the first of it. Past the bound they wait in the kernel's
// queue.
type room struct {
	mu     sync.Mutex
	freed  *sync.Cond
	open   int
	bound  int
	closed bool
}

func newRoom(bound int) *room {
	r := &room{bound: bound}
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
	for r.open >= r.bound && !r.closed {
		r.freed.Wait()
	}
	r.mu.Unlock()
}

func (r *room) close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.freed.Broadcast()
}

// roomy is a listener that accepts while there is room.
type roomy struct {
	net.Listener
	room *room
}

func (l roomy) Accept() (net.Conn, error) {
	l.room.wait()
	return l.Listener.Accept()
}
