package router

import (
	"time"

	"sandcourse/internal/routing"
)

// peerFreshness is the maximum age of the last message from a peer for which clients can be expected to reach the peer:
// routers send gossip about each request that they serve.
const peerFreshness = int64(time.Second)

// gossipState is the part of the gossip state that the router itself keeps; the policy keeps the rest.
type gossipState struct {
	lastMessageAt int64 // time at which the last message from a peer was received
}

// hasRecentMessage reports whether a message from a peer was received recently.
func (g *gossipState) hasRecentMessage(now int64) bool { return now-g.lastMessageAt <= peerFreshness }

// ReceivePeerMessage handles a message from another router.
func (r *Router) ReceivePeerMessage(from int, text string) {
	r.gossip.lastMessageAt = r.now
	r.notifyPolicy(routing.GossipReceived{From: from, Text: text})
}
