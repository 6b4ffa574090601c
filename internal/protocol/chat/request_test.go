package chat

import (
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"testing"
)

func FuzzParseRequest(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"a"}],"max_tokens":3}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		r, err := ParseRequest(body, http.Header{})
		if err != nil {
			var invalid *InvalidRequestError
			if !errors.As(err, &invalid) || invalid.Status != http.StatusBadRequest || invalid.Param == "" {
				t.Fatalf("error without type, status or parameter: %v", err)
			}
			return
		}
		out, err := r.RewrittenBody(Replacements{"stream": true, "max_completion_tokens": nil})
		if err != nil || !json.Valid(out) || r.PromptTokens < 4 || r.MaxOutputTokens < 1 {
			t.Fatalf("invalid request or rewritten body %s, %v", out, err)
		}
	})
}

func parse(t *testing.T, body string, header ...string) *Request {
	t.Helper()
	h := http.Header{}
	for i := 0; i+1 < len(header); i += 2 {
		h.Set(header[i], header[i+1])
	}
	r, err := ParseRequest([]byte(body), h)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestParseRequest(t *testing.T) {
	r := parse(t, `{"model":"fan-alert","user":"u","stream":true,"max_tokens":9,"x":{"y":[1]},"messages":[`+
		`{"role":"system","content":"You write alerts."},{"role":"user","content":"गोल!"}]}`,
		HeaderSession, "s1", HeaderFirstTokenTimeout, "1500", HeaderIdempotencyKey, "k")
	if r.Session != "s1" || r.FirstTokenTimeout.Milliseconds() != 1500 || r.IdempotencyKey != "k" || r.MaxOutputTokens != 9 || !r.Stream {
		t.Errorf("unexpected request %+v", r)
	}
	same := parse(t, `{"model":"m","messages":[{"role":"system","content":"You write alerts."},{"role":"user","content":"b"}]}`)
	moved := parse(t, `{"model":"m","messages":[{"role":"system","content":"You write"},{"role":"system","content":" alerts."}]}`)
	none := parse(t, `{"model":"m","messages":[{"role":"user","content":"b"}]}`)
	if r.PrefixHash != same.PrefixHash || r.PrefixHash == moved.PrefixHash || none.PrefixHash != "" || none.PrefixTokens != 0 {
		t.Errorf("prefix hashes: %q, same prefix %q, moved text %q, no prefix %q", r.PrefixHash, same.PrefixHash, moved.PrefixHash, none.PrefixHash)
	}
	out, err := r.RewrittenBody(Replacements{"max_tokens": 1})
	if err != nil || !strings.Contains(string(out), `"x":{"y":[1]}`) || !strings.Contains(string(out), `"max_tokens":1`) {
		t.Errorf("unexpected rewritten body %s, %v", out, err)
	}
	for _, bad := range []string{`[]`, `null`, `{}`, `{"model":3}`, `{"model":"m","messages":[]}`,
		`{"model":"m","messages":[{"role":"x","content":"a"}]}`, `{"model":"m","n":2,"messages":[{"role":"user"}]}`,
		`{"model":"m","max_tokens":0,"messages":[{"role":"user"}]}`, `{"model":"m","stream":"yes","messages":[{"role":"user"}]}`} {
		if _, err := ParseRequest([]byte(bad), http.Header{}); err == nil {
			t.Errorf("%s is accepted", bad)
		}
	}
}
