package edge

import (
	"context"
	"time"

	"go.uber.org/zap"

	"sandcourse/internal/router"
)

const (
	// clientCloseTimeout is how long an edge that has answered everything waits for clients that have sent a part of a
	// request, or do not read their responses. The platform kills it 0.7 s after a client's longest wait.
	clientCloseTimeout = time.Second
	// abandonTimeout bounds the wait for the owner to give open requests their error.
	abandonTimeout = time.Second
	// flushTime is how long what was written last has to leave the sockets before they close.
	flushTime = 100 * time.Millisecond
	// drainPollInterval is how often a draining edge looks whether requests are open.
	drainPollInterval = 20 * time.Millisecond
	// closePollInterval is how often it looks whether clients' connections are open.
	closePollInterval = 10 * time.Millisecond
)

// Drain takes no new request and waits until the open ones are answered; past the settings' finish time, or when ctx
// ends, the rest gets its error. Then the edge stops. The error says that requests were abandoned.
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

// awaitRequests returns once no request and no release is under way, and the edge need not stay for others.
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

// abandonRequests gives all open requests their error.
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
	time.Sleep(flushTime)
}

// closeClients accepts nobody new and closes all connections, each between two requests: a request that has been read
// already is answered first.
func (e *Edge) closeClients(ctx context.Context) {
	e.clients.listener.Close()
	ctx, cancel := context.WithTimeout(ctx, clientCloseTimeout)
	defer cancel()
	for {
		open, err := queryOwner(ctx, e, func() int { return e.router.CloseIdleClients() })
		if err != nil || open == 0 || sleep(ctx, closePollInterval) != nil {
			return
		}
	}
}

// sleep waits for a time, or until ctx ends: then it returns why.
func sleep(ctx context.Context, length time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(length):
		return nil
	}
}

// Stop ends the edge at once, as a kill would: what it holds is lost to it.
func (e *Edge) Stop() {
	e.endLifetime()
	e.clients.listener.Close()
	// The owner first: it dials, and the socket library must not be stopped under a dial.
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
