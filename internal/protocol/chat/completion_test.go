package chat

import (
	"errors"
	"strings"
	"testing"
)

func TestCompletionBuilder(t *testing.T) {
	request := parse(t, `{"model":"m","messages":[{"role":"user","content":"a"}]}`)
	b := NewCompletionBuilder(10)
	for _, e := range []string{`{"id":"i","choices":[{"index":0,"delta":{"content":"Go"}}]}`,
		`{"choices":[{"index":0,"delta":{"content":"al"},"finish_reason":"length"}]}`} {
		if err := b.Add([]byte(e)); err != nil {
			t.Fatal(err)
		}
	}
	if body := string(b.Body(request)); !strings.Contains(body, `"content":"Goal"`) || !strings.Contains(body, `"finish_reason":"length"`) {
		t.Error(body)
	}
	if err := b.Add([]byte(`{"choices":[{"index":0,"delta":{"content":"too much text"}}]}`)); !errors.Is(err, ErrCompletionTooLarge) {
		t.Errorf("over the limit: %v", err)
	}
	if b.Add([]byte(`x`)) == nil {
		t.Error("an event that is not JSON is accepted")
	}
}

// The bytes of complete responses and errors stay the same, as clients may depend on them.
func TestBodiesAreUnchanged(t *testing.T) {
	request := parse(t, `{"model":"m","messages":[{"role":"user","content":"abcd"}]}`)
	b := NewCompletionBuilder(100)
	if err := b.Add([]byte(`{"id":"i","choices":[{"index":0,"delta":{"content":"<Go>"}}]}`)); err != nil {
		t.Fatal(err)
	}
	for got, want := range map[string]string{
		string(b.Body(request)): `{"choices":[{"finish_reason":"stop","index":0,"message":{"content":"\u003cGo\u003e",` +
			`"role":"assistant"}}],"id":"i","model":"m","object":"chat.completion",` +
			`"usage":{"prompt_tokens":5,"completion_tokens":1,"total_tokens":6}}`,
		string(ErrorBody("k", "c", "", "t")):  `{"error":{"code":"c","message":"t","param":null,"type":"k"}}`,
		string(ErrorBody("k", "c", "p", "t")): `{"error":{"code":"c","message":"t","param":"p","type":"k"}}`,
	} {
		if got != want {
			t.Errorf("got %s\nwant %s", got, want)
		}
	}
}
