package edge

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/lesismal/nbio/logging"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"sandcourse/internal/endpoint"
)

// metricsHeadTimeout bounds how long a scraper may take to send the head of its request.
const metricsHeadTimeout = 5 * time.Second

// Start listens, starts the owner and the pollers, and returns once clients are served. The edge runs until Stop is called.
func (e *Edge) Start() error {
	logging.SetLevel(logging.LevelNone) // the socket library's own log
	if err := e.clients.listen(); err != nil {
		return err
	}
	if err := e.engines.start(); err != nil {
		e.clients.listener.Close()
		return err
	}
	if err := e.serveMetrics(); err != nil {
		e.clients.listener.Close()
		e.engines.pollers.Stop()
		return err
	}
	e.goroutines.Go(e.runOwner)
	e.followEndpoints()
	if err := e.clients.start(); err != nil {
		e.Stop()
		return err
	}
	e.log.Info("serving", zap.String("address", e.Addr()), zap.String("metrics_address", e.deployment.MetricsAddress))
	return nil
}

// serveMetrics serves the metrics page if the settings define an address for it.
func (e *Edge) serveMetrics() (err error) {
	address := e.deployment.MetricsAddress
	if address == "" {
		return nil
	}
	if e.metricsListener, err = net.Listen("tcp", address); err != nil {
		return fmt.Errorf("listen for metrics on %s: %w", address, err)
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(e.metrics.registry, promhttp.HandlerOpts{}))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: metricsHeadTimeout}
	e.goroutines.Go(func() {
		if err := server.Serve(e.metricsListener); !errors.Is(err, http.ErrServerClosed) {
			e.log.Error("metrics server failed", zap.Error(err))
		}
	})
	context.AfterFunc(e.lifetime, func() { server.Close() })
	return nil
}

// followEndpoints passes each endpoint list of the source to the owner, or the list in the settings once.
func (e *Edge) followEndpoints() {
	apply := func(list endpoint.List) {
		e.reachSyncPoint(EndpointListRead)
		e.inbox.put(listLane, 0, func() { e.router.UpdateEndpoints(list) })
	}
	if e.endpoints == nil {
		apply(endpoint.List{Revision: 1, Entries: e.deployment.Engines})
		return
	}
	reportFailure := func(err error) { e.log.Warn("endpoint list unavailable", zap.Error(err)) }
	e.goroutines.Go(func() { e.endpoints.Run(e.lifetime, apply, reportFailure) })
}
