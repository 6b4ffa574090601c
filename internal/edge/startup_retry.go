package edge

import (
	"time"

	"go.uber.org/zap"

	"sandcourse/internal/neterr"
)

// At startup the process before may still hold an address, or no descriptor may be free for a moment. A step that fails
// for that is retried for some seconds; the platform waits for thirty.
const (
	startupRetryTimeout  = 15 * time.Second
	startupRetryInterval = 50 * time.Millisecond
)

// retryStartup repeats a step of the startup while it fails for want of a resource of this machine.
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
