package edge

import (
	"context"
	"time"

	"go.uber.org/zap"

	"sandcourse/internal/router"
)

const (
	// clientCloseTimeout is how long an edge that has answered all requests waits for clients that have sent only part of a
	// request, or do not read their responses. The platform kills the edge 0.7 s after the longest client timeout.
	clientCloseTimeout = time.Second
	// abandonTimeout bounds the wait for the owner to answer open requests with an error.
	abandonTimeout = time.Second
	// flushDelay is the time given to the sockets to send the last responses before they are closed.
	flushDelay = 100 * time.Millisecond
	// drainPollInterval is how often a draining edge checks whether requests are open.
	drainPollInterval = 20 * time.Millisecond
	// closePollInterval is how often a closing edge checks whether client connections are open.
	closePollInterval = 10 * time.Millisecond
)

// Drain shuts the edge down gracefully: it accepts no new requests after the configured linger time, and waits until the open
// ones are answered. After the configured shutdown timeout, or when ctx is done, it answers the rest with an error. Then it
// stops the edge. Drain returns an error if requests were abandoned.
func (e *Edge) Drain(ctx context.Context) error {
	e.log.Info("draining", zap.Duration("linger", e.deployment.ShutdownAcceptTime))
	e.inbox.put(clientLane, 0, func() { e.router.Shutdown() })
	ctx, cancel := context.WithTimeout(ctx, e.deployment.ShutdownTimeout)
	defer cancel()
	err := e.awaitRequests(ctx)
	if err == nil {
		e.closeClients(ctx)
	} else {
		e.abandonRequests()
	}
	e.Stop()
	return err
}

// awaitRequests returns once no request and no release is in progress, and the edge does not have to linger.
func (e *Edge) awaitRequests(ctx context.Context) error {
	for {
		usage, err := e.Usage(ctx)
		if err != nil {
			return err
		}
		if usage.Requests == 0 && usage.ControlRequests == 0 && !usage.Lingering {
			return nil
		}
		if err := sleep(ctx, drainPollInterval); err != nil {
			return err
		}
	}
}

// abandonRequests answers all open requests with an error.
func (e *Edge) abandonRequests() {
	finished := make(chan struct{})
	e.inbox.put(clientLane, 0, func() {
		defer close(finished)
		e.router.AbandonAll(router.ReasonShuttingDown)
		e.router.RunDue(e.clock())
	})
	select {
	case <-finished:
	case <-time.After(abandonTimeout):
	}
	time.Sleep(flushDelay)
}

// closeClients stops accepting connections and closes the open ones, each between two requests: a request that has
// already been read is answered first.
func (e *Edge) closeClients(ctx context.Context) {
	e.clients.listener.Close()
	ctx, cancel := context.WithTimeout(ctx, clientCloseTimeout)
	defer cancel()
	for {
		accepted := e.clients.limit.acceptedCount()
		open, err := queryOwner(ctx, e, func() int { return e.router.CloseIdleClients() })
		if err != nil || open+accepted == 0 || sleep(ctx, closePollInterval) != nil {
			return
		}
	}
}

// sleep waits for a duration. It returns the error of ctx if ctx is done before that.
func sleep(ctx context.Context, duration time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(duration):
		return nil
	}
}

// Stop ends the edge at once, as a kill would: open requests get no response, and reservations are not released.
func (e *Edge) Stop() {
	e.endLifetime()
	e.clients.listener.Close()
	// The owner stops first: it dials engines, and the socket library must not be stopped during a dial.
	close(e.stopped)
	e.inbox.close()
	e.clients.limit.close()
	if e.gossip != nil {
		e.gossip.conn.Close()
	}
	e.goroutines.Wait()
	e.clients.stop()
	e.engines.pollers.Stop()
	e.clients.reuse.close()
	e.engines.reuse.close()
}
