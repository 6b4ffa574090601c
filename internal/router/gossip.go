package router

import (
	"time"

	"sandcourse/internal/routing"
)

// peerFreshness is how lately a peer must have been heard for clients to find it: routers send gossip about each request
// that they serve.
const peerFreshness = int64(time.Second)

// gossipState is what the router itself keeps of gossip; the policy keeps the rest.
type gossipState struct {
	heardAt int64 // when a peer was last heard
}

// peerIsFresh is whether a peer was heard lately.
func (g *gossipState) heardRecently(now int64) bool { return now-g.heardAt <= peerFreshness }

// ReceivePeerMessage handles a message of another router.
func (r *Router) ReceivePeerMessage(from int, text string) {
	r.gossip.heardAt = r.now
	r.notifyPolicy(routing.GossipReceived{From: from, Text: text})
}
