package edge

import (
	"time"

	"go.uber.org/zap"

	"sandcourse/internal/neterr"
)

// A node that starts may find its address still held by the process before it, or no descriptor free for a moment. It is
// given some seconds; the platform waits for thirty.
const (
	startupRetryTimeout  = 15 * time.Second
	startupRetryInterval = 50 * time.Millisecond
)

// retryStartup repeats a step of the start while it fails for a want of this machine, for some seconds at most.
func (e *Edge) retryStartup(step func() error) error {
	end := time.Now().Add(startupRetryTimeout)
	for logged := false; ; logged = true {
		err := step()
		if err == nil || !neterr.IsLocal(err) || time.Now().After(end) {
			return err
		}
		if !logged {
			e.log.Warn("the start waits", zap.Error(err), zap.Duration("at_most", startupRetryTimeout))
		}
		select {
		case <-e.lifetime.Done():
			return err
		case <-time.After(startupRetryInterval):
		}
	}
}
