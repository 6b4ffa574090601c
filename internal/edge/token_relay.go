package edge

import (
	"sync"
	"sync/atomic"

	"sandcourse/internal/router"
)

// tokenRelay forwards the tokens of one stream straight from the engine's poller to the client's socket, once the owner has
// forwarded all that came before. A token so never waits behind decisions for other requests. The owner holds both ends:
// it opens the relay after the first token and closes it before the final response.
type tokenRelay struct {
	frame func(event []byte) []byte

	mu             sync.Mutex
	pendingInOwner int                 // tokens on their way through the owner
	client         router.ClientSocket // nil before the relay is open
	closed         bool

	forwarded     atomic.Int64 // tokens that went past the owner
	lastForwarded atomic.Int64 // when one last did, by the edge's clock
}

// forward takes a token on the engine's poller. False means that it must go through the owner.
func (r *tokenRelay) forward(event []byte, now int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.closed:
		return true // the final response is out: nothing may follow it
	case r.client == nil:
		r.pendingInOwner++
		return false
	}
	r.lastForwarded.Store(now)
	r.forwarded.Add(1)
	_ = r.client.Send(r.frame(event)) // it fails once the socket has closed, of which the owner is notified
	return true
}

// Forwarded notes that the owner has forwarded one; once none is on its way, those that follow go straight to the client.
func (r *tokenRelay) Forwarded(client router.ClientSocket, flush func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pendingInOwner--; r.pendingInOwner == 0 && !r.closed && client != nil {
		flush()
		r.client = client
	}
}

// Close ends it; no token is forwarded after this returns.
func (r *tokenRelay) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
}

// Tokens is how many tokens went past the owner.
func (r *tokenRelay) Tokens() int { return int(r.forwarded.Load()) }

// LastTokenAt is when a token last went past the owner.
func (r *tokenRelay) LastTokenAt() int64 { return r.lastForwarded.Load() }
