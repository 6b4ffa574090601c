package edge

import (
	"sync"
	"sync/atomic"

	"sandcourse/internal/router"
)

// relay passes the tokens of one stream straight from the engine's poller to the client's socket, once the
// owner has passed on all that came before. A token so never waits behind the module's work for other
// inferences. The owner keeps both ends: it opens the relay after the first token and shuts it before the
// final answer.
type relay struct {
	frame         func(event []byte) []byte
	mu            sync.Mutex
	pendingInCore int // tokens on their way through the owner
	client        router.ClientSocket
	closed        bool
	forwarded     atomic.Int64
	lastForwarded atomic.Int64 // when a token last passed, by the node's clock
}

// forward takes a token on the engine's poller. False means that it must go through the owner.
func (r *relay) forward(event []byte, now int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.closed:
		return true // the final answer is out: nothing may follow it
	case r.client == nil:
		r.pendingInCore++
		return false
	}
	r.lastForwarded.Store(now)
	r.forwarded.Add(1)
	r.client.Send(r.frame(event))
	return true
}

// Forwarded notes that the owner has passed one on; once none is queued, those that follow go straight to c.
func (r *relay) Forwarded(c router.ClientSocket, flush func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pendingInCore--; r.pendingInCore == 0 && !r.closed && c != nil {
		flush()
		r.client = c
	}
}

// Close ends it; no token passes after this returns.
func (r *relay) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
}

// Tokens is how many tokens went past the owner.
func (r *relay) Tokens() int { return int(r.forwarded.Load()) }

// LastTokenAt is when a token last passed.
func (r *relay) LastTokenAt() int64 { return r.lastForwarded.Load() }
