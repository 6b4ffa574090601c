package main

import (
	"context"
	"os"
	"time"

	"go.uber.org/zap"
)

const (
	// The file may be only partially written, or file descriptors may have run out for a moment, so a failed read is soon
	// repeated. The new discovery address must be in use within four seconds of SIGHUP.
	retryIntervalShort    = 100 * time.Millisecond
	shortIntervalAttempts = 50
	// After shortIntervalAttempts the configuration is presumably invalid until an operator corrects it.
	retryIntervalLong = time.Second
)

// reloader reads the configuration again at each SIGHUP. Only the discovery address can change in a running edge; all other
// changes require a restart.
type reloader struct {
	file             string
	reloadSignals    <-chan os.Signal
	discoveryAddress chan string // channel that holds the latest address until discovery receives it
	log              *zap.Logger
}

// run handles reloads until ctx is done. It continues while the edge drains, because discovery is needed until the end.
func (r *reloader) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.reloadSignals:
			r.reload(ctx)
		}
	}
}

// reload reads the configuration until that succeeds; another SIGHUP restarts the retries.
func (r *reloader) reload(ctx context.Context) {
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
		interval := retryIntervalShort
		if attempt >= shortIntervalAttempts {
			interval = retryIntervalLong
		}
		select {
		case <-ctx.Done():
			return
		case <-r.reloadSignals:
			attempt, lastError = -1, ""
		case <-time.After(interval):
		}
	}
}

// publish replaces an address that discovery has not received yet. It never blocks, because there is no other sender.
func (r *reloader) publish(address string) {
	select {
	case <-r.discoveryAddress:
	default:
	}
	r.discoveryAddress <- address
}
