package edge_test

import (
	"net"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"sandcourse/internal/config"
	"sandcourse/internal/edge"
)

// An edge sends gossip to one peer or to all peers, and drops messages that exceed the limit.
func TestGossipIsSentToPeers(t *testing.T) {
	other, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	d := config.Defaults()
	e := edge.New(d, zap.NewNop(), fixedSource{}, 1)
	if err := e.ListenForPeers("127.0.0.1:0", []string{"127.0.0.9:9", other.LocalAddr().String()}, ""); err != nil {
		t.Fatal(err)
	}
	e.SendToPeer(1, "kept")
	e.SendToPeer(1, strings.Repeat("x", 300)) // The message exceeds the limit, so it is never sent.
	e.SendToPeer(-1, "to all")
	buffer := make([]byte, 512)
	for _, want := range []string{"kept", "to all"} {
		other.SetReadDeadline(time.Now().Add(5 * time.Second))
		if size, _, err := other.ReadFrom(buffer); err != nil || string(buffer[:size]) != want {
			t.Fatalf("%q %v, want %q", buffer[:size], err, want)
		}
	}
}
