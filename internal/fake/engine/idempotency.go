package engine

import (
	"sync"
	"time"
)

// idempotencyWindow is how long an idempotency key is deduplicated after its last use.
const idempotencyWindow = 30 * time.Second

// IdempotencyKeys is the set of idempotency keys that a group of engines has seen.
type IdempotencyKeys struct {
	mu   sync.Mutex
	seen map[string]time.Time
}

// checkAndRecord reports whether the key was recorded within the window, and records it. A nil set records no keys, and an empty
// key is never recorded.
func (k *IdempotencyKeys) checkAndRecord(key string) bool {
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
