package router

import "sandcourse/internal/config"

// shutdownState is the progress of a graceful shutdown.
type shutdownState struct {
	requested      bool
	requestedAt    int64
	clientsDrained bool // set when the idle connections of clients are closed
}

// accepts reports whether requests are still accepted. After a shutdown is requested, requests in transit are accepted for
// ShutdownAcceptTime and, unless that is 0, all requests until clients are drained.
func (s *shutdownState) accepts(cfg *config.Deployment, now int64) bool {
	return !s.requested || now-s.requestedAt < int64(cfg.ShutdownAcceptTime) || cfg.ShutdownAcceptTime > 0 && !s.clientsDrained
}

// isHandoverDue reports whether requests that arrived late must end now, so that their clients can retry at another router
// before this one is killed.
func (s *shutdownState) isHandoverDue(cfg *config.Deployment, now int64) bool {
	return s.requested && cfg.ShutdownStayTime != 0 && now-s.requestedAt >= int64(cfg.ShutdownHandoverTime)
}

// Shutdown begins a graceful shutdown. If the settings have a ShutdownAcceptTime, requests are accepted for that time, and
// until clients are drained.
func (r *Router) Shutdown() {
	if !r.shutdown.requested {
		r.shutdown.requested, r.shutdown.requestedAt = true, r.now
		r.drainClients()
	}
}

// acceptsRequests reports whether the router accepts new requests.
func (r *Router) acceptsRequests() bool { return r.shutdown.accepts(r.config, r.now) }

// drainClients closes the idle connections of clients while the router shuts down, so that clients connect to other
// routers. It waits until a message from a peer is received: in a rolling restart the previous router may not be back yet,
// and clients would find no router. If peers serve but their messages do not arrive, the wait only delays the drain.
func (r *Router) drainClients() {
	waitsForPeer := r.config.ShutdownAcceptTime > 0 && r.now-r.shutdown.requestedAt < int64(r.config.ShutdownStayTime) &&
		!r.gossip.hasRecentMessage(r.now)
	if !r.shutdown.requested || !r.shutdown.clientsDrained && waitsForPeer {
		return
	}
	r.shutdown.clientsDrained = true
	for _, id := range r.clients.ids() {
		r.closeDrainingClient(r.clients.byID[id])
	}
}

// closeDrainingClient closes an idle connection while clients are drained. For a connection with a request in flight, it is
// called again after the answer.
func (r *Router) closeDrainingClient(client *ClientConnection) {
	if r.shutdown.clientsDrained && r.config.ShutdownAcceptTime > 0 && r.admission.ServedAndIdle(client.ID) {
		r.closeIfIdle(client, CloseShutdown)
	}
}

// abandonLateRequests ends the requests that arrived too late in a shutdown to complete reliably before the process is
// killed: the client of a stream resumes it at another router, and other clients get an answer while there is time for one.
func (r *Router) abandonLateRequests() {
	if !r.shutdown.isHandoverDue(r.config, r.now) {
		return
	}
	for _, id := range r.requests.ids() {
		req := r.requests.byID[id]
		if req.arrivedAt-r.shutdown.requestedAt >= int64(r.config.ShutdownAcceptTime) && req.outcome == "" {
			r.abortRequest(req, ReasonShuttingDown)
		}
	}
}

// notReadyReason returns why the router cannot serve, for readiness checks; empty if it can.
func (r *Router) notReadyReason() string {
	switch {
	case r.shutdown.requested:
		return string(ReasonShuttingDown)
	case r.endpoints.current == nil:
		return "no list of engines has come yet"
	case len(r.endpoints.current.Entries) == 0:
		return "the list of engines is empty"
	}
	return ""
}
