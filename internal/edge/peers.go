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
const peerText = 256

// hearAgain is how long after a failed read the next one follows: the socket may fail for good.
const hearAgain = 10 * time.Millisecond

// peers is how nodes tell one another short texts: datagrams, which may be late or lost.
type peers struct {
	conn *net.UDPConn
	row  []netip.AddrPort // of all nodes, this one too, by their numbers
	all  netip.AddrPort   // reaches them all; not valid where there is none
}

// HearPeers makes the node listen to others, before Start.
func (n *Node) HearPeers(listen string, row []string, all string) error {
	if listen == "" {
		return nil
	}
	p := &peers{}
	for _, text := range row {
		at, err := netip.ParseAddrPort(text)
		if err != nil {
			return fmt.Errorf("peer %q: %w", text, err)
		}
		p.row = append(p.row, at)
	}
	p.all, _ = netip.ParseAddrPort(all)
	at, err := net.ResolveUDPAddr("udp", listen)
	if err == nil {
		err = n.untilItStands(func() (err error) {
			p.conn, err = net.ListenUDP("udp", at)
			return err
		})
	}
	if err != nil {
		return fmt.Errorf("listen for peers on %s: %w", listen, err)
	}
	n.peers = p
	n.over.Go(n.hearPeers)
	return nil
}

// hearPeers hands on what comes from an address that is a peer's.
func (n *Node) hearPeers() {
	buffer := make([]byte, peerText+1)
	for {
		size, from, err := n.peers.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			select {
			case <-n.alive.Done():
				return
			case <-time.After(hearAgain):
			}
			continue
		}
		who := slices.Index(n.peers.row, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
		if size > peerText || who < 0 || who == n.d.NodeNumber {
			continue
		}
		text := string(buffer[:size])
		n.in.put(size, func() { n.core.ReceivePeerMessage(who, text) })
	}
}

// SendToPeer is node.Wire's.
func (n *Node) SendToPeer(to int, text string) {
	if n.peers == nil || len(text) > peerText {
		return
	}
	p := n.peers
	at := []netip.AddrPort{p.all}
	switch {
	case to >= 0 && to < len(p.row):
		at = p.row[to : to+1]
	case to >= 0:
		return
	case !p.all.IsValid():
		at = p.row
	}
	for _, a := range at {
		if !p.all.IsValid() && a == p.row[n.d.NodeNumber] {
			continue
		}
		if _, err := p.conn.WriteToUDPAddrPort([]byte(text), a); err != nil {
			n.log.Debug("peer", zap.Error(err))
		}
	}
}
