package platform

import (
	"bufio"
	"bytes"
	"net/http"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sandcourse/internal/protocol"
	"sandcourse/internal/protocol/httpframing"
)

// A request reaches an engine unchanged, and routing uses the token counts that the client sent.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	const body = `{"model":"chat","max_tokens":800}`
	request, rejection := parse(t, sampleHead+"Client-Retry: again\r\n", body)
	if rejection != nil || request.PromptTokens != 5120 || request.PrefixTokens != 2048 || request.Prefix != "5c0f" || request.MaxOutputTokens != 800 ||
		request.FirstTokenTimeout != 4800*time.Millisecond || !request.Resumes || !request.Idempotent ||
		request.Route != "chat" || request.Session != "7f3a" {
		t.Fatalf("unexpected request %+v, rejection %v", request, rejection)
	}
	sent, err := NewCodec(nil).PrefillRequest(request, request.ID, protocol.Target{Address: "127.0.0.9:1"}, 0, 1500*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	parts, err := httpframing.NewParser(httpframing.Requests, largeLimits).Feed(sent)
	if err != nil || len(parts) != 3 || string(parts[1].Data) != body {
		t.Fatal(parts, err)
	}
	r := parts[0].Request
	if r.RequestURI != "/v1/chat/completions?x=1" || r.Header.Get(HeaderRequestID) != "9b1f03aa5c7e2d41" ||
		r.Header.Get(HeaderTimeout) != "1.500" || r.Header.Get("Content-Type") != "application/json" {
		t.Fatalf("unexpected target %s or header %v", r.RequestURI, r.Header)
	}
}

// Header fields that the node does not use are forwarded, as engines may need them (such as an idempotency key). Hop-by-hop
// fields are not forwarded, and no field is written twice.
func TestHeaderFieldsAreForwarded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.StringMatching(`X-[a-z]{1,8}`).Draw(t, "name")
		value := rapid.StringMatching(`[!-~]([ -~]{0,20}[!-~])?`).Draw(t, "value")
		listed := rapid.Bool().Draw(t, "listed in Connection")
		head := sampleHead + "Idempotency-Key: \"8e03978e\"\r\nTE: trailers\r\nKeep-Alive: 5\r\n" + name + ": " + value + "\r\n"
		if listed {
			head += "Connection: keep-alive, " + name + "\r\n"
		}
		r, err := parseHTTP(head, "{}")
		if err != nil {
			t.Fatal(err)
		}
		request, _, rejection := NewCodec(nil).ParseRequest(r, []byte("{}"))
		if rejection != nil {
			t.Fatalf("%s", rejection.Body)
		}
		wire, err := NewCodec(nil).DecodeRequest(request, request.ID, protocol.Target{Address: "h:1"}, nil, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		sent, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(wire)))
		if err != nil {
			t.Fatalf("%v: %q", err, wire)
		}
		for field, want := range map[string][]string{"Idempotency-Key": {`"8e03978e"`}, "Content-Type": {"application/json"},
			"Request-Id": {"9b1f03aa5c7e2d41"}, "Request-Timeout": {"1.000"}, "Te": nil, "Keep-Alive": nil, "Connection": nil} {
			if got := sent.Header.Values(field); !slices.Equal(got, want) {
				t.Errorf("%s: got %q, want %q", field, got, want)
			}
		}
		if got := sent.Header.Get(name); (got == value) == listed {
			t.Errorf("%s: got %q, sent %q, listed in Connection: %v", name, got, value, listed)
		}
	})
}
