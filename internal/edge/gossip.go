package edge

import (
	"fmt"
	"net"
	"net/netip"
	"slices"

	"time"

	"go.uber.org/zap"
)

const (
	// maxGossipText is the most bytes of one text between peers.
	maxGossipText = 256
	// receiveRetryInterval is how long after a failed read the next one follows: the socket may fail for good.
	receiveRetryInterval = 10 * time.Millisecond
)

// gossip exchanges short texts with the other edges, in datagrams, which may be late or lost. It does not change once
// the edge has started.
type gossip struct {
	conn      *net.UDPConn
	peers     []netip.AddrPort // of all edges, this one too, by their numbers
	broadcast netip.AddrPort   // reaches them all; not valid where there is none
}

// ListenForPeers makes the edge exchange texts with others. It does nothing without an address to listen on, and is
// called before Start.
func (e *Edge) ListenForPeers(listen string, peers []string, broadcast string) error {
	if listen == "" {
		return nil
	}
	g := &gossip{}
	for _, text := range peers {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return fmt.Errorf("peer %q: %w", text, err)
		}
		g.peers = append(g.peers, address)
	}
	g.broadcast, _ = netip.ParseAddrPort(broadcast)
	if err := e.listenForGossip(g, listen); err != nil {
		return fmt.Errorf("listen for peers on %s: %w", listen, err)
	}
	e.gossip = g
	e.goroutines.Go(e.receiveGossip)
	return nil
}

func (e *Edge) listenForGossip(g *gossip, listen string) error {
	address, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		return err
	}
	return e.retryStartup(func() (err error) {
		g.conn, err = net.ListenUDP("udp", address)
		return err
	})
}

// receiveGossip hands the owner what comes from a peer's address, until Stop.
func (e *Edge) receiveGossip() {
	buffer := make([]byte, maxGossipText+1)
	for {
		size, from, err := e.gossip.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if sleep(e.lifetime, receiveRetryInterval) != nil {
				return
			}
			continue
		}
		sender := slices.Index(e.gossip.peers, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
		if size > maxGossipText || sender < 0 || sender == e.deployment.NodeNumber {
			continue
		}
		text := string(buffer[:size])
		e.inbox.put(clientLane, size, func() { e.router.ReceivePeerMessage(sender, text) })
	}
}

// SendToPeer sends a text to one peer, or to all where its number is negative. The owner calls it.
func (e *Edge) SendToPeer(to int, text string) {
	g := e.gossip
	if g == nil || len(text) > maxGossipText {
		return
	}
	for _, address := range g.destinations(to) {
		if !g.broadcast.IsValid() && address == g.peers[e.deployment.NodeNumber] {
			continue
		}
		if _, err := g.conn.WriteToUDPAddrPort([]byte(text), address); err != nil {
			e.log.Debug("gossip not sent", zap.Error(err))
		}
	}
}

// destinations are where a text to one peer goes, or to all where its number is negative.
func (g *gossip) destinations(to int) []netip.AddrPort {
	switch {
	case to >= len(g.peers):
		return nil
	case to >= 0:
		return g.peers[to : to+1]
	case g.broadcast.IsValid():
		return []netip.AddrPort{g.broadcast}
	}
	return g.peers
}
