package engine

import (
	"sync"
	"time"
)

// idempotencyWindow is how long a key is remembered.
const idempotencyWindow = 30 * time.Second

// IdempotencyKeys are the idempotency keys that a group of engines has seen.
type IdempotencyKeys struct {
	mu   sync.Mutex
	seen map[string]time.Time
}

// seenBefore is whether a request with this key has run within the window. It remembers the key.
func (k *IdempotencyKeys) seenBefore(key string) bool {
	if k == nil || key == "" {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.seen == nil {
		k.seen = map[string]time.Time{}
	}
	at, ok := k.seen[key]
	k.seen[key] = time.Now()
	return ok && time.Since(at) < idempotencyWindow
}
