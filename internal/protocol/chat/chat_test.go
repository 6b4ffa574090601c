package chat

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
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
		d := NewDecoder(1 << 16)
		for rest := wire; len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "part")
			if err := d.Feed(rest[:n], func(data []byte) { got = append(got, string(data)) }); err != nil {
				t.Fatal(err)
			}
			rest = rest[n:]
		}
		if fmt.Sprintf("%q", got) != fmt.Sprintf("%q", want) || !d.AtBoundary() {
			t.Fatalf("%q, want %q", got, want)
		}
	})
}

func FuzzDecoder(f *testing.F) {
	f.Add([]byte("data: {}\n\ndata: [DONE]\n\n"))
	f.Fuzz(func(t *testing.T, wire []byte) {
		d := NewDecoder(64)
		held := 0
		err := d.Feed(wire, func(data []byte) { held = max(held, len(data)) })
		if held > 64 {
			t.Fatal("an event over the bound came out")
		}
		if again := d.Feed([]byte("data: x\n\n"), func([]byte) {}); err != nil && !errors.Is(again, err) {
			t.Fatal("goes on after its fault")
		}
	})
}

func FuzzParseRequest(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"a"}],"max_tokens":3}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		c, err := ParseRequest(body, http.Header{})
		if err != nil {
			var w *InvalidRequestError
			if !errors.As(err, &w) || w.Status != 400 || w.Param == "" {
				t.Fatalf("%v", err)
			}
			return
		}
		out, err := c.RewrittenBody(map[string]any{"stream": true, "max_completion_tokens": nil})
		if err != nil || !json.Valid(out) || c.PromptTokens < 4 || c.MaxOutputTokens < 1 {
			t.Fatalf("%s, %v", out, err)
		}
	})
}

func parse(t *testing.T, body string, header ...string) *Request {
	t.Helper()
	h := http.Header{}
	for i := 0; i+1 < len(header); i += 2 {
		h.Set(header[i], header[i+1])
	}
	c, err := ParseRequest([]byte(body), h)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestParseRequest(t *testing.T) {
	c := parse(t, `{"model":"fan-alert","user":"u","stream":true,"max_tokens":9,"x":{"y":[1]},"messages":[`+
		`{"role":"system","content":"You write alerts."},{"role":"user","content":"गोल!"}]}`,
		HeaderSession, "s1", HeaderFirstTokenTimeout, "1500", HeaderIdempotencyKey, "k")
	if c.Session != "s1" || c.FirstTokenTimeout.Milliseconds() != 1500 || c.IdempotencyKey != "k" || c.MaxOutputTokens != 9 || !c.Stream {
		t.Errorf("%+v", c)
	}
	same := parse(t, `{"model":"m","messages":[{"role":"system","content":"You write alerts."},{"role":"user","content":"b"}]}`)
	moved := parse(t, `{"model":"m","messages":[{"role":"system","content":"You write"},{"role":"system","content":" alerts."}]}`)
	none := parse(t, `{"model":"m","messages":[{"role":"user","content":"b"}]}`)
	if c.PrefixHash != same.PrefixHash || c.PrefixHash == moved.PrefixHash || none.PrefixHash != "" || none.PrefixTokens != 0 {
		t.Errorf("%q %q %q %q", c.PrefixHash, same.PrefixHash, moved.PrefixHash, none.PrefixHash)
	}
	out, err := c.RewrittenBody(map[string]any{"max_tokens": 1})
	if err != nil || !strings.Contains(string(out), `"x":{"y":[1]}`) || !strings.Contains(string(out), `"max_tokens":1`) {
		t.Errorf("%s %v", out, err)
	}
	for _, bad := range []string{`[]`, `null`, `{}`, `{"model":3}`, `{"model":"m","messages":[]}`,
		`{"model":"m","messages":[{"role":"x","content":"a"}]}`, `{"model":"m","n":2,"messages":[{"role":"user"}]}`,
		`{"model":"m","max_tokens":0,"messages":[{"role":"user"}]}`, `{"model":"m","stream":"yes","messages":[{"role":"user"}]}`} {
		if _, err := ParseRequest([]byte(bad), http.Header{}); err == nil {
			t.Errorf("%s is taken", bad)
		}
	}
}

func TestCompletionBuilder(t *testing.T) {
	c := parse(t, `{"model":"m","messages":[{"role":"user","content":"a"}]}`)
	w := NewCompletionBuilder(10)
	for _, e := range []string{`{"id":"i","choices":[{"index":0,"delta":{"content":"Go"}}]}`,
		`{"choices":[{"index":0,"delta":{"content":"al"},"finish_reason":"length"}]}`} {
		if err := w.Add([]byte(e)); err != nil {
			t.Fatal(err)
		}
	}
	if body := string(w.Body(c)); !strings.Contains(body, `"content":"Goal"`) || !strings.Contains(body, `"finish_reason":"length"`) {
		t.Error(body)
	}
	if w.Add([]byte(`{"choices":[{"index":0,"delta":{"content":"too much text"}}]}`)) == nil || w.Add([]byte(`x`)) == nil {
		t.Error("over the bound, or no JSON, is taken")
	}
}
