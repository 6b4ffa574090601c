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
	rereadIntervalShort = 100 * time.Millisecond
	// After some seconds it is bad for good, or until somebody mends it.
	rereadIntervalLong    = time.Second
	shortIntervalAttempts = 50
)

// reloader reads the configuration anew at each SIGHUP. Only the address of discovery may change in a running node; all
// else takes a restart.
type reloader struct {
	file             string
	hangups          <-chan os.Signal
	discoveryAddress chan string // holds the newest address that discovery has not taken yet
	log              *zap.Logger
}

// run reads until ctx ends. It goes on while the node shuts down: what discovery tells counts until the end.
func (r *reloader) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.hangups:
			r.reread(ctx)
		}
	}
}

// reread reads the configuration until it can be read, or another SIGHUP starts over.
func (r *reloader) reread(ctx context.Context) {
	lastError := ""
	for attempt := 0; ; attempt++ {
		configuration, err := readConfig(r.file)
		if err == nil {
			r.log.Info("configuration read anew", zap.String("discovery", configuration.DiscoveryAddress), zap.Int("tries", attempt+1))
			r.publish(configuration.DiscoveryAddress)
			return
		}
		if err.Error() != lastError {
			lastError = err.Error()
			r.log.Warn("the configuration cannot be read anew; it is tried again", zap.Error(err))
		}
		pause := rereadIntervalShort
		if attempt >= shortIntervalAttempts {
			pause = rereadIntervalLong
		}
		select {
		case <-ctx.Done():
			return
		case <-r.hangups:
			attempt, lastError = -1, ""
		case <-time.After(pause):
		}
	}
}

// publish puts an address in place of one that has not been taken. It never waits; nobody else sends.
func (r *reloader) publish(address string) {
	select {
	case <-r.discoveryAddress:
	default:
	}
	r.discoveryAddress <- address
}
