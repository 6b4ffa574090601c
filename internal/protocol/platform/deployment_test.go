package platform

import (
	"fmt"
	"testing"
	"time"

	"sandcourse/internal/invariant"
)

// An engine may close a connection that was idle for the time in the settings. A request that the node writes to the
// connection must arrive before that, even if the node is stalled for invariant.MaxDelay.
func TestIdleTimeoutLeavesMarginForStalls(t *testing.T) {
	for _, idle := range []time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond, 5 * time.Second} {
		text := fmt.Sprintf(`{"name":"n","listen":"127.0.0.1:9","discovery":"127.0.0.1:9","settings":{"flavors":["m1","m2"],
 "ceilings":{"try_limit":5,"conn_idle_us":%d},"family_info":{"stage_of_kind":["read","write"]},"classes":[{"name":"a",
 "effect":"retryable","objective_us":1000000}]}}`, idle.Microseconds())
		c, err := ParseNodeConfig("test", []byte(text))
		if err != nil {
			t.Fatal(err)
		}
		d, err := c.Deployment("test")
		if err != nil {
			t.Fatal(err)
		}
		if d.Connections.IdleTimeout > max(0, idle-invariant.MaxDelay) {
			t.Errorf("engines close an idle connection after %v, the node uses it for up to %v", idle, d.Connections.IdleTimeout)
		}
	}
}
