package platform

import (
	"testing"

	"pgregory.net/rapid"

	"sandcourse/internal/protocol/chat"
	"sandcourse/internal/protocol/httpframing"
)

// The events of a stream are forwarded unchanged, and a truncated stream has no last chunk.
func TestEventsAreForwardedUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		codec := NewCodec(nil)
		data := rapid.StringMatching(`[ -~]{0,40}`).Draw(t, "event")
		completed := rapid.Bool().Draw(t, "completed")
		last, keepAlive := codec.StreamEnd(completed, "reason")
		wire := append(append(codec.StreamHead("n"), codec.StreamEvent([]byte(data))...), last...)
		parts, err := httpframing.NewParser(httpframing.Responses, largeLimits).Feed(wire)
		var body []byte
		ended := false
		for _, p := range parts {
			body = append(body, p.Data...)
			ended = ended || p.Kind == httpframing.End
		}
		if err != nil || string(body) != "data: "+data+"\n\n" || ended != completed || keepAlive != completed {
			t.Fatalf("body %q, ended %v, kept alive %v, error %v", body, ended, keepAlive, err)
		}
		events := 0
		if chat.NewEventDecoder(1<<10).Feed(body, func([]byte) { events++ }) != nil || events != 1 {
			t.Fatal(events)
		}
	})
}
