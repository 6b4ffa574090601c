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
	// maxGossipText is the maximum size of a gossip message in bytes.
	maxGossipText = 256
	// receiveRetryInterval is the pause after a failed read: the socket may fail permanently.
	receiveRetryInterval = 10 * time.Millisecond
)

// gossip exchanges short text messages with the other edges in datagrams, which may be late or lost. It is immutable once
// the edge has started.
type gossip struct {
	conn      *net.UDPConn
	peers     []netip.AddrPort // addresses of all edges, including this one, by node number
	broadcast netip.AddrPort   // address that reaches all edges; invalid if not configured
}

// ListenForPeers starts the exchange of gossip with other edges. It does nothing if the listen address is empty. It must
// be called before Start.
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

// receiveGossip passes messages from the addresses of peers to the owner, until Stop.
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

// SendToPeer sends a message to the peer with the given node number, or to all peers if the number is negative. The owner
// calls it.
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

// destinations returns the addresses for a message to the peer with the given node number, or to all peers if the number is
// negative.
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
