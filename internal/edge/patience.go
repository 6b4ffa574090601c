package edge

import (
	"time"

	"go.uber.org/zap"

	"sandcourse/internal/neterr"
)

// A node that starts may find its address still held by the process before it, or no descriptor free for a moment. It is
// given some seconds; the platform waits for thirty.
const (
	startTime  = 15 * time.Second
	startPause = 50 * time.Millisecond
)

// untilItStands repeats a step of the start while it fails for a want of this machine, for some seconds at most.
func (n *Node) untilItStands(step func() error) error {
	end := time.Now().Add(startTime)
	for told := false; ; told = true {
		err := step()
		if err == nil || !neterr.IsLocal(err) || time.Now().After(end) {
			return err
		}
		if !told {
			n.log.Warn("the start waits", zap.Error(err), zap.Duration("at_most", startTime))
		}
		select {
		case <-n.alive.Done():
			return err
		case <-time.After(startPause):
		}
	}
}
