package router

import (
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"sandcourse/internal/admission"
	"sandcourse/internal/invariant"
	"sandcourse/internal/protocol"
	"sandcourse/internal/protocol/httpframing"
)

// pipelined is how many requests of one connection wait for their turn. Those behind them are refused when theirs comes:
// closing the connection would leave all that was read without an answer.
const pipelined = 4

// readAhead is how many requests of one connection are read before their turn. The connection ends behind their answers.
const readAhead = 64

// ClientOpened takes a new connection of a client.
func (o *Core) ClientOpened(c *Client) {
	ok := o.gate.Open(c.ID, o.now, func(id int64) bool { return o.tryClose(o.clients[id], CloseCrowded) })
	o.clients[c.ID] = c
	if !ok {
		// A request may be on its way on it already, and is owed an answer.
		o.watch.Refused("connections")
		o.reply(c, nil, o.protocol.ShedResponse(http.StatusServiceUnavailable, "", "this node has all the connections that it may",
			o.d.MaxRetryAfter))
	}
}

func (o *Core) closeClient(c *Client, why CloseReason) {
	if c != nil {
		c.Socket.StopReading()
		o.flush(c)
		o.closeSocket(c, why)
	}
}

// closeSocket closes a client's connection, whatever is under way on it. What the gate of closes has against it counts.
func (o *Core) closeSocket(c *Client, why CloseReason) {
	o.monitor.Closing(o.connection(c), string(why))
	o.watch.Closed(c.ID, why)
	c.Socket.Close()
}

// connection is what the gate of closes is asked about.
func (o *Core) connection(c *Client) invariant.Connection {
	waiting := 0
	for _, a := range c.waiting {
		if !a.ends {
			waiting++
		}
	}
	if c.serving {
		waiting++
	}
	return invariant.Connection{ClientGone: c.gone || c.Socket.Gone(), Broke: c.cut, Waiting: waiting, Unread: c.partial}
}

// tryClose closes a connection between two requests, once its last answer is with the kernel.
func (o *Core) tryClose(c *Client, why CloseReason) bool {
	if c == nil || c.gone {
		return true
	}
	o.flush(c)
	if invariant.MayClose(o.connection(c)) != invariant.Allowed || !c.Socket.Drained() || !c.Socket.TryClose() {
		return false
	}
	o.watch.Closed(c.ID, why)
	return true
}

// CloseClients closes each connection on which nothing is under way, and returns how many others there are.
func (o *Core) CloseClients() (busy int) {
	for _, id := range slices.Sorted(maps.Keys(o.clients)) {
		c := o.clients[id]
		switch {
		case c.closing:
			if !c.Socket.Drained() {
				busy++
			}
		case c.serving || !o.tryClose(c, CloseStopping):
			busy++
		}
	}
	return busy
}

// ClientGone says that a connection of a client has ended.
func (o *Core) ClientGone(c *Client) {
	if c.gone {
		return
	}
	c.gone = true
	o.gate.Happen(c.ID, admission.Closed, o.now)
	delete(o.clients, c.ID)
	c.waiting = nil
	if inf := c.current; inf != nil {
		o.clientLeft(inf)
	}
}

// Reading says that a client sends, and how many bytes of an unfinished call are held for it.
func (o *Core) Reading(c *Client, input admission.Input, held int) {
	if c.gone || c.closing {
		return // what comes on a connection that is closing is dropped
	}
	c.unfinished, c.partial = input, true
	if !c.serving {
		o.gate.Happen(c.ID, input, o.now)
	}
	o.gate.Hold(c.ID, held-c.held)
	c.held = held
	if id := o.gate.Fattest(); id != 0 {
		o.watch.Refused("bytes")
		o.reply(o.clients[id], nil, o.protocol.ShedResponse(http.StatusServiceUnavailable, "", "this node holds all that it may",
			o.d.MaxRetryAfter))
	}
}

// RefuseMessage answers what is no request, and reads nothing more: where one message ends is not known.
func (o *Core) RefuseMessage(c *Client, err error) {
	status := http.StatusBadRequest
	var f *httpframing.MessageError
	if errors.As(err, &f) {
		status = f.Status
	}
	o.watch.Refused("message")
	// What was asked for before it gets its answers first.
	wrong := o.protocol.InvalidRequestResponse(status, "bad_message", "", err.Error())
	c.waiting = append(c.waiting, &Asked{Wrong: &wrong, ends: true})
	o.next(c)
}

// Ask takes a whole request of a client.
func (o *Core) Ask(c *Client, a *Asked) {
	if c.gone || c.closing {
		return
	}
	o.gate.Hold(c.ID, a.Bytes-c.held)
	c.held, c.partial, c.continues = 0, false, false
	o.gate.Happen(c.ID, admission.CallWhole, o.now)
	a.excess = len(c.waiting) >= pipelined
	c.waiting = append(c.waiting, a)
	if len(c.waiting) == readAhead {
		c.Socket.StopReading()
		c.last = true
	}
	o.next(c)
}

// next serves what a client has asked for, one after the other.
func (o *Core) next(c *Client) {
	for !c.serving && !c.gone && !c.closing && len(c.waiting) > 0 {
		a := c.waiting[0]
		c.waiting = c.waiting[1:]
		c.serving = true
		if a.Party == "" {
			a.Party = fmt.Sprintf("c%d", c.ID)
		}
		o.serve(c, a)
	}
	if !c.serving && !c.gone && len(c.waiting) == 0 {
		o.rest(c)
	}
}

// rest is what a connection comes to once all that was read on it is answered. A request that has come in part meanwhile
// has its time from now on.
func (o *Core) rest(c *Client) {
	o.gate.Happen(c.ID, admission.Answered, o.now)
	switch {
	case c.closing:
	case c.last:
		o.part(c)
	case c.partial:
		o.gate.Happen(c.ID, c.unfinished, o.now)
		o.sendContinue(c)
	}
}

// Continue says that a client waits for a word before it sends the body of its request. It gets the word once all before
// it is answered: in the middle of an answer it would spoil that.
func (o *Core) Continue(c *Client) {
	if c.gone || c.closing {
		return
	}
	c.continues = true
	if !c.serving && len(c.waiting) == 0 {
		o.sendContinue(c)
	}
}

func (o *Core) sendContinue(c *Client) {
	if c.continues {
		c.continues = false
		o.write(c, []byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
}

func (o *Core) serve(c *Client, a *Asked) {
	switch {
	case a.ends:
		o.reply(c, nil, *a.Wrong)
	case a.Wrong != nil:
		o.reply(c, a, *a.Wrong)
	case a.Call != nil:
		o.arrive(c, a)
	default:
		o.reply(c, a, o.protocol.AuxiliaryResponse(a.Request, o.unready()))
	}
}

// reply writes a whole answer and ends the request.
func (o *Core) reply(c *Client, a *Asked, with protocol.Response) {
	head := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n",
		with.Status, http.StatusText(with.Status), with.ContentType, len(with.Body))
	for i := 0; i+1 < len(with.Headers); i += 2 {
		head = fmt.Appendf(head, "%s: %s\r\n", with.Headers[i], with.Headers[i+1])
	}
	keep := a != nil && !a.Request.Close && a.Request.ProtoAtLeast(1, 1)
	if !keep {
		head = append(head, "Connection: close\r\n"...)
	}
	o.write(c, append(append(head, "\r\n"...), with.Body...))
	o.answered(c, a, keep)
}

// answered ends a request of a client and goes on with the next.
func (o *Core) answered(c *Client, a *Asked, keep bool) {
	if a != nil {
		o.gate.Hold(c.ID, -a.Bytes)
	}
	c.serving, c.current = false, nil
	if !keep || c.closing {
		// Its client has said that this was the last one, or nothing behind it can be read: what follows is owed no answer.
		c.waiting = nil
		o.part(c)
		return
	}
	o.next(c)
}

// part closes a connection once all is written. What still comes in is read and dropped: closing with bytes
// unread would reset the connection, and the client might lose its answer.
func (o *Core) part(c *Client) {
	c.closing = true
	c.Socket.StopReading()
	o.gate.Hold(c.ID, -c.held) // a part of a request is dropped
	c.held, c.partial = 0, false
	o.gate.Happen(c.ID, admission.Part, o.now)
	o.closing[c.ID] = o.now
	o.flush(c)
}

func (o *Core) write(c *Client, data []byte) {
	if c.gone {
		return
	}
	c.out = append(c.out, data...)
	if !c.dirty {
		c.dirty = true
		o.dirty = append(o.dirty, c)
	}
}

// flush hands a client's bytes to its socket. One that does not read is closed by the socket's bound.
func (o *Core) flush(c *Client) {
	if len(c.out) == 0 || c.gone {
		c.out = nil
		return
	}
	out := c.out
	c.out = nil
	if err := c.Socket.Send(out); err != nil {
		o.watch.Refused("slow client")
		o.watch.Closed(c.ID, CloseUnread)
		c.Socket.Close()
	}
}

// closeWritten closes what has written all, or has been given up: half a second for the client to hang up
// first.
func (o *Core) closeWritten() {
	for id, at := range o.closing {
		c := o.clients[id]
		if c == nil {
			delete(o.closing, id)
			continue
		}
		written := c.Socket.Drained()
		if written && (c.cut || o.now-at > int64(500*time.Millisecond)) || o.now-at > int64(o.d.Limits.DrainTime) {
			delete(o.closing, id)
			o.closeSocket(c, closedAs(c, written))
		}
	}
}

func closedAs(c *Client, written bool) CloseReason {
	switch {
	case c.cut:
		return CloseBroken
	case written:
		return CloseAnswered
	}
	return CloseUnread
}

// cut ends a connection whose answer broke: the client must not take what it has for the whole.
func (o *Core) cut(c *Client) {
	c.serving, c.current = false, nil
	c.cut = true
	o.part(c)
}

// names are those that clients gave to inferences. Engines know inferences by them, so that a second of the
// same name would be taken for a copy of the first. The last few thousand are kept, in two halves.
type names struct{ young, old map[string]bool }

// namesHalf: a minute's worth at a hundred a second, some hundred kilobytes.
const namesHalf = 6000

func (n *names) known(name string) bool { return n.young[name] || n.old[name] }

// free forgets the name of a request of which nothing was sent to an engine: its client may come again with it.
func (n *names) free(name string) {
	delete(n.young, name)
	delete(n.old, name)
}

// take notes a name; false where it is taken already.
func (n *names) take(name string) bool {
	if n.known(name) {
		return false
	}
	if n.young == nil || len(n.young) >= namesHalf {
		n.young, n.old = map[string]bool{}, n.young
	}
	n.young[name] = true
	return true
}
