package main

import (
	"context"
	"os"
	"time"

	"go.uber.org/zap"
)

const (
	// A configuration that cannot be read may be partially written, or file descriptors may have run out for a moment, so
	// it is soon read again. The new discovery address has to be in use four seconds after SIGHUP.
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
	discoveryAddress chan string // holds the latest address until discovery receives it
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

// reload retries until the configuration can be read; another SIGHUP restarts the retries.
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
