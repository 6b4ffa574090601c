package node

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
	since := o.now - o.stopAt
	if !o.stopping || o.gone || o.d.Linger > 0 && since < int64(o.d.Stay) && o.now-o.heardAt > near {
		return
	}
	o.gone = true
	if o.d.Linger == 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(o.clients)) {
		if c := o.clients[id]; o.gate.Quiet(id) {
			o.closeClient(c)
		}
	}
}

// taking is whether a node still takes calls: what is on its way when it is told to stop, and all while it
// stays.
func (o *Core) taking() bool {
	return !o.stopping || o.now-o.stopAt < int64(o.d.Linger) || o.d.Linger > 0 && !o.gone
}

// handOver ends what came too late to be sure of its end before the node is killed: a stream's client asks
// another node for the rest, and whoever has nothing yet gets an answer while there is one to give.
func (o *Core) handOver() {
	if !o.stopping || o.d.Stay == 0 || o.now-o.stopAt < int64(o.d.HandOver) {
		return
	}
	for _, id := range o.ids() {
		if inf := o.infs[id]; inf.at-o.stopAt >= int64(o.d.Linger) && inf.final == "" {
			o.abandon(inf, "this node is stopping")
		}
	}
}
