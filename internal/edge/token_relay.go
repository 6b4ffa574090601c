package edge

import (
	"sync"
	"sync/atomic"

	"sandcourse/internal/router"
)

// tokenRelay forwards the tokens of one stream directly from the engine's poller to the client's socket, once the owner has
// forwarded all earlier tokens. Thus a token never waits behind decisions for other requests. The owner controls the relay:
// it opens the relay after the first token and closes it before the final response.
type tokenRelay struct {
	encodeEvent func(event []byte) []byte

	mu             sync.Mutex
	pendingInOwner int                 // number of tokens queued for the owner
	client         router.ClientSocket // socket of the client; nil until the relay is open
	closed         bool

	forwarded     atomic.Int64 // number of tokens that bypassed the owner
	lastForwarded atomic.Int64 // time, by the edge's clock, at which the last token bypassed the owner
}

// forward handles a token on the engine's poller. It returns false if the token must be passed to the owner.
func (r *tokenRelay) forward(event []byte, now int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.closed:
		return true // The final response has been sent, and no token may follow it.
	case r.client == nil:
		r.pendingInOwner++
		return false
	}
	r.lastForwarded.Store(now)
	r.forwarded.Add(1)
	_ = r.client.Send(r.encodeEvent(event)) // Send fails only if the socket has closed, and the owner is notified of that.
	return true
}

// Forwarded records that the owner has forwarded a token. Once no token is queued for the owner, the relay opens.
func (r *tokenRelay) Forwarded(client router.ClientSocket, flush func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pendingInOwner--; r.pendingInOwner == 0 && !r.closed && client != nil {
		flush()
		r.client = client
	}
}

// Close closes the relay; no token is forwarded after Close returns.
func (r *tokenRelay) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
}

// Tokens returns the number of tokens that bypassed the owner.
func (r *tokenRelay) Tokens() int { return int(r.forwarded.Load()) }

// LastTokenAt returns the time at which the last token bypassed the owner.
func (r *tokenRelay) LastTokenAt() int64 { return r.lastForwarded.Load() }
