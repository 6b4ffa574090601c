package edge

import (
	"context"
	"time"

	"sandcourse/netfault"
)

// A node that starts may find its address still held by the process before it, or no descriptor free for a moment. It is
// given some seconds; the platform waits for thirty.
const (
	startTime  = 15 * time.Second
	startPause = 50 * time.Millisecond
)

// untilItStands repeats a step of the start while it fails for a want of this machine, for some seconds at most.
func untilItStands(ctx context.Context, step func() error) error {
	end := time.Now().Add(startTime)
	for {
		err := step()
		if err == nil || !netfault.Local(err) || time.Now().After(end) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(startPause):
		}
	}
}
