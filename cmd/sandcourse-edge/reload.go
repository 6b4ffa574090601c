package main

import (
	"context"
	"os"
	"time"

	"go.uber.org/zap"
)

const (
	// A configuration that cannot be read may be half written, or descriptors may have run out for a moment: it is read
	// again soon. What discovery tells counts four seconds after SIGHUP.
	rereadSoon = 100 * time.Millisecond
	// After some seconds it is bad for good, or until somebody mends it.
	rereadLater = time.Second
	soonTries   = 50
)

// reloader reads the configuration anew at each SIGHUP. Only the address of discovery may change in a running node; all
// else takes a restart.
type reloader struct {
	file   string
	reload <-chan os.Signal
	at     chan string // holds the newest address that discovery has not taken yet
	log    *zap.Logger
}

// run reads until ctx ends. It goes on while the node shuts down: what discovery tells counts until the end.
func (r *reloader) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.reload:
			r.read(ctx)
		}
	}
}

// read reads the configuration until it can be read, or another SIGHUP starts over.
func (r *reloader) read(ctx context.Context) {
	said := ""
	for tries := 0; ; tries++ {
		told, err := readTold(r.file)
		if err == nil {
			r.log.Info("configuration read anew", zap.String("discovery", told.DiscoveryAddress), zap.Int("tries", tries+1))
			r.hand(told.DiscoveryAddress)
			return
		}
		if err.Error() != said {
			said = err.Error()
			r.log.Warn("the configuration cannot be read anew; it is tried again", zap.Error(err))
		}
		pause := rereadSoon
		if tries >= soonTries {
			pause = rereadLater
		}
		select {
		case <-ctx.Done():
			return
		case <-r.reload:
			tries, said = -1, ""
		case <-time.After(pause):
		}
	}
}

// hand puts an address in place of one that has not been taken. It never waits; nobody else sends.
func (r *reloader) hand(address string) {
	select {
	case <-r.at:
	default:
	}
	r.at <- address
}
