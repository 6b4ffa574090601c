package modelcheck

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// fingerprint returns a hash that is equal for states with the same possible continuations.
func (s *simulation) fingerprint() uint64 {
	h := xxhash.New()
	s.core.Fingerprint(h)
	for _, c := range s.clients {
		fmt.Fprintln(h, c.requestSent, c.disconnected, c.endedAt > 0, c.outcome, c.outcomeCount, c.requestID, c.possibleRuns,
			c.decodeFinished, c.retried, s.now-c.sentAt)
	}
	s.fingerprintConnections(h)
	fmt.Fprintln(h, s.faultsInjected, s.incarnation)
	for _, r := range s.reservations.held {
		fmt.Fprintln(h, r.requestID, r.engine, r.attempt, r.lostReleases, s.now-r.idleSince)
	}
	for _, e := range s.endpoints.Entries {
		fmt.Fprintln(h, e.State, e.StartedAtMs)
	}
	for _, name := range slices.Sorted(maps.Keys(s.drainNotifiedAt)) {
		fmt.Fprintln(h, name, s.now-s.drainNotifiedAt[name])
	}
	for _, a := range s.coldAttempts {
		fmt.Fprintln(h, a.engine, s.now-a.at, s.now-a.startedAt)
	}
	return h.Sum64()
}

// fingerprintConnections writes the open connections to the hash, independently of their order.
func (s *simulation) fingerprintConnections(h io.Writer) {
	var lines []string
	for _, c := range s.connections {
		if c.closed {
			continue
		}
		hanging := int64(0)
		if c.hangingSince > 0 {
			hanging = 1 + s.now - c.hangingSince
		}
		line := fmt.Sprint(c.engineConnection.Engine, c.established, c.hasUnreadBytes, c.partlyWritten, hanging, c.halfClosed)
		if r := c.request; r != nil {
			line += fmt.Sprint(r.requestID, r.kind, r.attempt, r.unresponsive, r.firstTokenSent, r.secondTokenSent)
		}
		lines = append(lines, line)
	}
	slices.Sort(lines)
	fmt.Fprintln(h, lines)
}
