package edge

import (
	"fmt"
	"net"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"
)

// The most bytes of one text between nodes.
const maxGossipText = 256

// receiveRetryInterval is how long after a failed read the next one follows: the socket may fail for good.
const receiveRetryInterval = 10 * time.Millisecond

// peers is how nodes tell one another short texts: datagrams, which may be late or lost.
type peers struct {
	conn      *net.UDPConn
	addresses []netip.AddrPort // of all nodes, this one too, by their numbers
	broadcast netip.AddrPort   // reaches them all; not valid where there is none
}

// ListenForPeers makes the node listen to others, before Start.
func (e *Edge) ListenForPeers(listen string, addresses []string, broadcast string) error {
	if listen == "" {
		return nil
	}
	p := &peers{}
	for _, text := range addresses {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return fmt.Errorf("peer %q: %w", text, err)
		}
		p.addresses = append(p.addresses, address)
	}
	p.broadcast, _ = netip.ParseAddrPort(broadcast)
	address, err := net.ResolveUDPAddr("udp", listen)
	if err == nil {
		err = e.retryStartup(func() (err error) {
			p.conn, err = net.ListenUDP("udp", address)
			return err
		})
	}
	if err != nil {
		return fmt.Errorf("listen for peers on %s: %w", listen, err)
	}
	e.peers = p
	e.goroutines.Go(e.receiveGossip)
	return nil
}

// receiveGossip hands on what comes from an address that is a peer's.
func (e *Edge) receiveGossip() {
	buffer := make([]byte, maxGossipText+1)
	for {
		size, from, err := e.peers.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			select {
			case <-e.lifetime.Done():
				return
			case <-time.After(receiveRetryInterval):
			}
			continue
		}
		sender := slices.Index(e.peers.addresses, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
		if size > maxGossipText || sender < 0 || sender == e.deployment.NodeNumber {
			continue
		}
		text := string(buffer[:size])
		e.inbox.put(size, func() { e.core.ReceivePeerMessage(sender, text) })
	}
}

// SendToPeer is node.Wire's.
func (e *Edge) SendToPeer(to int, text string) {
	if e.peers == nil || len(text) > maxGossipText {
		return
	}
	p := e.peers
	destinations := []netip.AddrPort{p.broadcast}
	switch {
	case to >= 0 && to < len(p.addresses):
		destinations = p.addresses[to : to+1]
	case to >= 0:
		return
	case !p.broadcast.IsValid():
		destinations = p.addresses
	}
	for _, address := range destinations {
		if !p.broadcast.IsValid() && address == p.addresses[e.deployment.NodeNumber] {
			continue
		}
		if _, err := p.conn.WriteToUDPAddrPort([]byte(text), address); err != nil {
			e.log.Debug("peer", zap.Error(err))
		}
	}
}
