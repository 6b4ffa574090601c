package main

import (
	"context"
	"os"
	"time"

	"go.uber.org/zap"
)

const (
	// A configuration that cannot be read may be half written, or descriptors may have run out for a moment: it is read
	// again soon. The new discovery address counts four seconds after SIGHUP.
	rereadIntervalShort   = 100 * time.Millisecond
	shortIntervalAttempts = 50
	// After that it is bad until somebody mends it.
	rereadIntervalLong = time.Second
)

// reloader reads the configuration again at each SIGHUP. Only the discovery address may change in a running edge; all else
// takes a restart.
type reloader struct {
	file             string
	hangups          <-chan os.Signal
	discoveryAddress chan string // holds the newest address that discovery has not taken yet
	log              *zap.Logger
}

// run reads until ctx ends. It goes on while the edge drains: discovery counts until the end.
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
			r.log.Info("configuration reloaded", zap.String("discovery", configuration.DiscoveryAddress), zap.Int("attempts", attempt+1))
			r.publish(configuration.DiscoveryAddress)
			return
		}
		if err.Error() != lastError {
			lastError = err.Error()
			r.log.Warn("configuration reload failed, retrying", zap.Error(err))
		}
		interval := rereadIntervalShort
		if attempt >= shortIntervalAttempts {
			interval = rereadIntervalLong
		}
		select {
		case <-ctx.Done():
			return
		case <-r.hangups:
			attempt, lastError = -1, ""
		case <-time.After(interval):
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
