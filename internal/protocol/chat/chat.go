// Package chat holds the chat API as clients speak it: calls, answers, streamed events, errors and the headers
// that carry what a router needs to know. It does no I/O.
package chat

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
)

// The headers of the API; docs/chat-api.md says what each does.
const (
	HeaderSession = "X-Conversation-Id"
	HeaderRepeat  = "Idempotency-Key"
	HeaderGiveUp  = "X-Give-Up-Ms"
	HeaderRequest = "X-Request-Id"
	// HeaderRetry counts a client's retries of one call, as the published OpenAI client libraries send it.
	HeaderRetry = "X-Stainless-Retry-Count"
	// HeaderInference goes with every final answer and to engines: the inference's name, unique over nodes
	// and their restarts.
	HeaderInference = "X-Sandcourse-Inference"
	// HeaderFinal says which final answer a whole answer or a refusal is: completed, shed or errored.
	HeaderFinal = "X-Sandcourse-Final"
)

// Bounds of one call beyond its size in bytes.
const (
	maxMessages = 4096
	maxName     = 256     // of a session, a repeat mark, a request id, a model
	maxTokens   = 1 << 20 // asked for by max_tokens
)

// Message is one message of a prompt. Content is kept as it came: text or parts.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// Call is one inference as its client asks for it.
type Call struct {
	Model        string
	Session      string // empty where the client names none
	Beginning    string // hash of the leading messages that sessions may share; empty for none
	Prompt       int    // tokens, estimated: see Estimate
	BeginningLen int    // tokens of the beginning
	MaxAnswer    int    // tokens
	Stream       bool
	RepeatMark   string
	Request      string        // the client's own name for it
	Retry        int           // how many tries went before; 0 where the client does not say
	GiveUp       time.Duration // how long the client waits for a first token; 0 where it does not say
	fields       map[string]json.RawMessage
}

// Wrong says what a client must change. Param names the field or header.
type Wrong struct {
	Status      int
	Param, What string
}

func (w *Wrong) Error() string { return w.Param + ": " + w.What }

func wrong(param, format string, args ...any) error {
	return &Wrong{http.StatusBadRequest, param, fmt.Sprintf(format, args...)}
}

// Parse reads a call. Errors are of type *Wrong.
func Parse(body []byte, header http.Header) (*Call, error) {
	if !utf8.Valid(body) {
		return nil, wrong("body", "it is not UTF-8")
	}
	c := &Call{}
	if err := json.Unmarshal(body, &c.fields); err != nil || c.fields == nil {
		return nil, wrong("body", "it is not a JSON object: %v", err)
	}
	var user string
	var limit, limitNew *int
	var messages []Message
	for _, f := range []struct {
		name string
		to   any
		want string
	}{
		{"model", &c.Model, "a text"}, {"stream", &c.Stream, "true or false"}, {"user", &user, "a text"},
		{"max_tokens", &limit, "a whole number"}, {"max_completion_tokens", &limitNew, "a whole number"},
		{"messages", &messages, "a list of messages"},
	} {
		if raw, ok := c.fields[f.name]; ok {
			if err := json.Unmarshal(raw, f.to); err != nil {
				return nil, wrong(f.name, "it must be %s", f.want)
			}
		}
	}
	var many int
	if raw, ok := c.fields["n"]; ok && (json.Unmarshal(raw, &many) != nil || many != 1) {
		return nil, wrong("n", "only one answer a call is given; it must be 1")
	}
	switch {
	case c.Model == "" || len(c.Model) > maxName:
		return nil, wrong("model", "it must name a model route in at most %d bytes", maxName)
	case len(messages) == 0 || len(messages) > maxMessages:
		return nil, wrong("messages", "there must be 1 to %d", maxMessages)
	}
	if limitNew != nil {
		limit = limitNew
	}
	// 512: what most clients mean that say nothing; engines stop earlier by themselves.
	c.MaxAnswer = 512
	if limit != nil {
		c.MaxAnswer = *limit
	}
	if c.MaxAnswer < 1 || c.MaxAnswer > maxTokens {
		return nil, wrong("max_tokens", "it must be 1 to %d", maxTokens)
	}
	if err := c.readHeaders(header, user); err != nil {
		return nil, err
	}
	return c, c.readMessages(messages)
}

func (c *Call) readHeaders(header http.Header, user string) error {
	for _, h := range []struct {
		name string
		to   *string
	}{{HeaderSession, &c.Session}, {HeaderRepeat, &c.RepeatMark}, {HeaderRequest, &c.Request}} {
		*h.to = header.Get(h.name)
		if len(*h.to) > maxName || strings.ContainsFunc(*h.to, func(r rune) bool { return r < ' ' || r == 0x7f }) {
			return wrong(h.name, "it must be printable and at most %d bytes", maxName)
		}
	}
	if c.Session == "" {
		c.Session = user
	}
	if len(c.Session) > maxName {
		return wrong("user", "it must be at most %d bytes", maxName)
	}
	if text := header.Get(HeaderGiveUp); text != "" {
		ms, err := strconv.Atoi(text)
		if err != nil || ms < 1 || ms > 3_600_000 {
			return wrong(HeaderGiveUp, "it must be 1 to 3600000 milliseconds, not %q", text)
		}
		c.GiveUp = time.Duration(ms) * time.Millisecond
	}
	if text := header.Get(HeaderRetry); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 || n > 1_000_000 {
			return wrong(HeaderRetry, "it must be 0 to 1000000, not %q", text)
		}
		c.Retry = n
	}
	return nil
}

var roles = []string{"system", "developer", "user", "assistant", "tool", "function"}

// readMessages measures the prompt and hashes its beginning: the messages before the first that is not an
// instruction, as those are what many sessions have in common.
func (c *Call) readMessages(messages []Message) error {
	sum, leading := xxhash.New(), true
	for i, m := range messages {
		known := false
		for _, r := range roles {
			known = known || r == m.Role
		}
		if !known {
			return wrong(fmt.Sprintf("messages[%d].role", i), "it must be one of %s", strings.Join(roles, ", "))
		}
		// Four tokens a message: role and separators in common chat templates.
		n := Estimate(m.Content) + 4
		c.Prompt += n
		leading = leading && (m.Role == "system" || m.Role == "developer")
		if leading {
			// Length first, so that no two rows of messages hash alike by moving text from one to the next.
			fmt.Fprintf(sum, "%s %d:", m.Role, len(m.Content))
			sum.Write(m.Content)
			c.BeginningLen += n
		}
	}
	if c.BeginningLen > 0 {
		c.Beginning = fmt.Sprintf("%016x", sum.Sum64())
	}
	return nil
}

// Estimate guesses the tokens of a text: one for four bytes of ASCII, two for three letters of other scripts.
// Against common byte-pair vocabularies it is within a third for English prose and within a half for Nepali; a
// tokenizer at the node will replace it.
func Estimate(text []byte) int {
	ascii, other := 0, 0
	for _, r := range string(text) {
		if r < utf8.RuneSelf {
			ascii++
		} else {
			other++
		}
	}
	return ascii/4 + (2*other+2)/3
}

// Rewritten is the call's body with some fields put in the place of its own.
func (c *Call) Rewritten(put map[string]any) ([]byte, error) {
	fields := make(map[string]any, len(c.fields)+len(put))
	for name, raw := range c.fields {
		fields[name] = raw
	}
	for name, v := range put {
		if v == nil {
			delete(fields, name)
		} else {
			fields[name] = v
		}
	}
	return json.Marshal(fields)
}

// Event is what this program reads of a streamed event.
type Event struct {
	ID      string `json:"id"`
	Choices []struct {
		Index int `json:"index"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *Usage `json:"usage,omitempty"`
}

// Usage counts tokens.
type Usage struct {
	Prompt    int `json:"prompt_tokens"`
	Completed int `json:"completion_tokens"`
	Total     int `json:"total_tokens"`
}

// Whole collects a stream into one answer, within a bound of bytes.
type Whole struct {
	bound  int
	id     string
	text   strings.Builder
	finish string
	tokens int
	usage  *Usage
}

// NewWhole makes one that holds at most bound bytes of text.
func NewWhole(bound int) *Whole { return &Whole{bound: bound, finish: "stop"} }

// Take adds an event.
func (w *Whole) Take(data []byte) error {
	var e Event
	if err := json.Unmarshal(data, &e); err != nil {
		return fmt.Errorf("event is not JSON: %w", err)
	}
	if w.id == "" {
		w.id = e.ID
	}
	if e.Usage != nil {
		w.usage = e.Usage
	}
	for _, choice := range e.Choices {
		if choice.Index != 0 {
			continue
		}
		if w.text.Len()+len(choice.Delta.Content) > w.bound {
			return errors.New("answer is over its bound")
		}
		if choice.Delta.Content != "" {
			w.tokens++
		}
		w.text.WriteString(choice.Delta.Content)
		if choice.FinishReason != nil {
			w.finish = *choice.FinishReason
		}
	}
	return nil
}

// Body is the whole answer.
func (w *Whole) Body(c *Call) []byte {
	usage := w.usage
	if usage == nil {
		usage = &Usage{c.Prompt, w.tokens, c.Prompt + w.tokens}
	}
	body, _ := json.Marshal(map[string]any{"id": w.id, "object": "chat.completion", "model": c.Model,
		"choices": []any{map[string]any{"index": 0, "finish_reason": w.finish,
			"message": map[string]any{"role": "assistant", "content": w.text.String()}}},
		"usage": usage})
	return body
}

// ErrorBody is an error object as OpenAI-style clients expect it.
func ErrorBody(kind, code, param, text string) []byte {
	inner := map[string]any{"message": text, "type": kind, "code": code, "param": nil}
	if param != "" {
		inner["param"] = param
	}
	body, _ := json.Marshal(map[string]any{"error": inner})
	return body
}
