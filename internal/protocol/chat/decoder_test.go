package chat

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func TestEventsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var wire []byte
		var want []string
		for range rapid.IntRange(0, 5).Draw(t, "events") {
			data := rapid.StringOf(rapid.SampledFrom([]rune("ab:\n \u0915"))).Draw(t, "data")
			want = append(want, data)
			wire = append(wire, ": comment\nid: 3\n"...)
			wire = AppendEvent(wire, []byte(data))
		}
		if rapid.Bool().Draw(t, "carriage returns") {
			wire = bytes.ReplaceAll(wire, []byte("\n"), []byte("\r\n"))
		}
		var got []string
		d := NewEventDecoder(1 << 16)
		for rest := wire; len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "part")
			if err := d.Feed(rest[:n], func(data []byte) { got = append(got, string(data)) }); err != nil {
				t.Fatal(err)
			}
			rest = rest[n:]
		}
		if fmt.Sprintf("%q", got) != fmt.Sprintf("%q", want) || !d.AtBoundary() {
			t.Fatalf("events %q, want %q", got, want)
		}
	})
}

func FuzzDecoder(f *testing.F) {
	f.Add([]byte("data: {}\n\ndata: [DONE]\n\n"))
	f.Fuzz(func(t *testing.T, wire []byte) {
		d := NewEventDecoder(64)
		largest := 0
		err := d.Feed(wire, func(data []byte) { largest = max(largest, len(data)) })
		if largest > 64 {
			t.Fatal("an event over the limit was emitted")
		}
		if next := d.Feed([]byte("data: x\n\n"), func([]byte) {}); err != nil && !errors.Is(next, err) {
			t.Fatal("decoder accepts more bytes after an error")
		}
	})
}
