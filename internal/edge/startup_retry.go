package edge

import (
	"time"

	"go.uber.org/zap"

	"sandcourse/internal/neterr"
)

// At startup the previous process may still use an address, or no file descriptor may be free for a moment. A step of the
// startup that fails for such a reason is retried for some seconds; the platform waits 30 s for an edge to start.
const (
	startupRetryTimeout  = 15 * time.Second
	startupRetryInterval = 50 * time.Millisecond
)

// retryStartup repeats a step of the startup while it fails because a resource of this machine is not available.
func (e *Edge) retryStartup(step func() error) error {
	deadline := time.Now().Add(startupRetryTimeout)
	for logged := false; ; logged = true {
		err := step()
		if err == nil || !neterr.IsLocal(err) || time.Now().After(deadline) {
			return err
		}
		if !logged {
			e.log.Warn("startup step failed, retrying", zap.Error(err), zap.Duration("timeout", startupRetryTimeout))
		}
		if sleep(e.lifetime, startupRetryInterval) != nil {
			return err
		}
	}
}
