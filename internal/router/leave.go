package router

import (
	"maps"
	"slices"
	"time"
)

// near is how lately another node must have been heard for clients to find it: nodes tell of each inference
// served.
const near = int64(time.Second)

// leave closes connections that a node which is told to stop has with its clients, so that they go elsewhere.
// It waits while no other node is heard: restarts follow one another, and if the one before is not back yet,
// clients that are sent away find nobody. It does harm where others serve and are not heard: then it only
// leaves later.
func (o *Core) leave() {
	stays := o.d.ShutdownAcceptTime > 0 && o.now-o.stopAt < int64(o.d.ShutdownStayTime) && o.now-o.heardAt > near
	if !o.stopping || !o.gone && stays {
		return
	}
	o.gone = true
	for _, id := range slices.Sorted(maps.Keys(o.clients)) {
		o.leaveClient(o.clients[id])
	}
}

// leaveClient closes the connection of a client that is to go elsewhere, if nothing is under way on it. One on
// which a request is on its way gets its answer first, and is tried again behind it.
func (o *Core) leaveClient(c *Client) {
	if o.gone && o.d.ShutdownAcceptTime > 0 && o.gate.Quiet(c.ID) {
		o.tryClose(c, CloseStopping)
	}
}

// taking is whether a node still takes calls: what is on its way when it is told to stop, and all while it
// stays.
func (o *Core) taking() bool {
	return !o.stopping || o.now-o.stopAt < int64(o.d.ShutdownAcceptTime) || o.d.ShutdownAcceptTime > 0 && !o.gone
}

// handOver ends what came too late to be sure of its end before the node is killed: a stream's client asks
// another node for the rest, and whoever has nothing yet gets an answer while there is one to give.
func (o *Core) handOver() {
	if !o.stopping || o.d.ShutdownStayTime == 0 || o.now-o.stopAt < int64(o.d.ShutdownHandoverTime) {
		return
	}
	for _, id := range o.ids() {
		if inf := o.infs[id]; inf.at-o.stopAt >= int64(o.d.ShutdownAcceptTime) && inf.final == "" {
			o.abandon(inf, "this node is stopping")
		}
	}
}
