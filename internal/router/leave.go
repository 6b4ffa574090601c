package router

import (
	"maps"
	"slices"
	"time"
)

// peerFreshness is how lately another node must have been heard for clients to find it: nodes tell of each inference
// served.
const peerFreshness = int64(time.Second)

// drainClients closes connections that a node which is told to stop has with its clients, so that they go elsewhere.
// It waits while no other node is heard: restarts follow one another, and if the one before is not back yet,
// clients that are sent away find nobody. It does harm where others serve and are not heard: then it only
// leaves later.
func (r *Router) drainClients() {
	stays := r.config.ShutdownAcceptTime > 0 && r.now-r.stoppedAt < int64(r.config.ShutdownStayTime) && r.now-r.peerHeardAt > peerFreshness
	if !r.stopping || !r.clientsDrained && stays {
		return
	}
	r.clientsDrained = true
	for _, id := range slices.Sorted(maps.Keys(r.clients)) {
		r.closeDrainingClient(r.clients[id])
	}
}

// closeDrainingClient closes the connection of a client that is to go elsewhere, if nothing is under way on it. One on
// which a request is on its way gets its answer first, and is tried again behind it.
func (r *Router) closeDrainingClient(client *ClientConnection) {
	if r.clientsDrained && r.config.ShutdownAcceptTime > 0 && r.admission.ServedAndIdle(client.ID) {
		r.closeIfIdle(client, CloseShutdown)
	}
}

// acceptsRequests is whether a node still takes calls: what is on its way when it is told to stop, and all while it
// stays.
func (r *Router) acceptsRequests() bool {
	return !r.stopping || r.now-r.stoppedAt < int64(r.config.ShutdownAcceptTime) || r.config.ShutdownAcceptTime > 0 && !r.clientsDrained
}

// abandonLateRequests ends what came too late to be sure of its end before the node is killed: a stream's client asks
// another node for the rest, and whoever has nothing yet gets an answer while there is one to give.
func (r *Router) abandonLateRequests() {
	if !r.stopping || r.config.ShutdownStayTime == 0 || r.now-r.stoppedAt < int64(r.config.ShutdownHandoverTime) {
		return
	}
	for _, id := range r.requestIDs() {
		if req := r.requests[id]; req.arrivedAt-r.stoppedAt >= int64(r.config.ShutdownAcceptTime) && req.outcome == "" {
			r.abortRequest(req, "this node is stopping")
		}
	}
}
