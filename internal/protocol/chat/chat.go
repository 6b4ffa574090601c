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
	HeaderSession           = "X-Conversation-Id"
	HeaderIdempotencyKey    = "Idempotency-Key"
	HeaderFirstTokenTimeout = "X-Give-Up-Ms"
	HeaderClientRequestID   = "X-Request-Id"
	// HeaderRetryCount counts a client's retries of one call, as the published OpenAI client libraries send it.
	HeaderRetryCount = "X-Stainless-Retry-Count"
	// HeaderRequestID goes with every final answer and to engines: the inference's name, unique over nodes
	// and their restarts.
	HeaderRequestID = "X-Sandcourse-Inference"
	// HeaderOutcome says which final answer a whole answer or a refusal is: completed, shed or errored.
	HeaderOutcome = "X-Sandcourse-Final"
)

// Bounds of one call beyond its size in bytes.
const (
	maxMessages = 4096
	maxIDBytes  = 256     // of a session, a repeat mark, a request id, a model
	maxTokens   = 1 << 20 // asked for by max_tokens
)

// Message is one message of a prompt. Content is kept as it came: text or parts.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// Request is one inference as its client asks for it.
type Request struct {
	Model             string
	Session           string // empty where the client names none
	PrefixHash        string // hash of the leading messages that sessions may share; empty for none
	PromptTokens      int    // tokens, estimated: see Estimate
	PrefixTokens      int    // tokens of the beginning
	MaxOutputTokens   int    // tokens
	Stream            bool
	IdempotencyKey    string
	ClientRequestID   string        // the client's own name for it
	RetryCount        int           // how many tries went before; 0 where the client does not say
	FirstTokenTimeout time.Duration // how long the client waits for a first token; 0 where it does not say
	fields            map[string]json.RawMessage
}

// InvalidRequestError says what a client must change. Param names the field or header.
type InvalidRequestError struct {
	Status        int
	Param, Reason string
}

func (e *InvalidRequestError) Error() string { return e.Param + ": " + e.Reason }

func invalid(param, format string, args ...any) error {
	return &InvalidRequestError{http.StatusBadRequest, param, fmt.Sprintf(format, args...)}
}

// ParseRequest reads a call. Errors are of type *Wrong.
func ParseRequest(body []byte, header http.Header) (*Request, error) {
	if !utf8.Valid(body) {
		return nil, invalid("body", "it is not UTF-8")
	}
	r := &Request{}
	if err := json.Unmarshal(body, &r.fields); err != nil || r.fields == nil {
		return nil, invalid("body", "it is not a JSON object: %v", err)
	}
	var user string
	var maxTokensField, maxCompletionTokensField *int
	var messages []Message
	for _, field := range []struct {
		name string
		to   any
		want string
	}{
		{"model", &r.Model, "a text"}, {"stream", &r.Stream, "true or false"}, {"user", &user, "a text"},
		{"max_tokens", &maxTokensField, "a whole number"}, {"max_completion_tokens", &maxCompletionTokensField, "a whole number"},
		{"messages", &messages, "a list of messages"},
	} {
		if raw, ok := r.fields[field.name]; ok {
			if err := json.Unmarshal(raw, field.to); err != nil {
				return nil, invalid(field.name, "it must be %s", field.want)
			}
		}
	}
	var choices int
	if raw, ok := r.fields["n"]; ok && (json.Unmarshal(raw, &choices) != nil || choices != 1) {
		return nil, invalid("n", "only one answer a call is given; it must be 1")
	}
	switch {
	case r.Model == "" || len(r.Model) > maxIDBytes:
		return nil, invalid("model", "it must name a model route in at most %d bytes", maxIDBytes)
	case len(messages) == 0 || len(messages) > maxMessages:
		return nil, invalid("messages", "there must be 1 to %d", maxMessages)
	}
	if maxCompletionTokensField != nil {
		maxTokensField = maxCompletionTokensField
	}
	// 512: what most clients mean that say nothing; engines stop earlier by themselves.
	r.MaxOutputTokens = 512
	if maxTokensField != nil {
		r.MaxOutputTokens = *maxTokensField
	}
	if r.MaxOutputTokens < 1 || r.MaxOutputTokens > maxTokens {
		return nil, invalid("max_tokens", "it must be 1 to %d", maxTokens)
	}
	if err := r.parseHeaders(header, user); err != nil {
		return nil, err
	}
	return r, r.measureMessages(messages)
}

func (r *Request) parseHeaders(header http.Header, user string) error {
	for _, field := range []struct {
		name string
		to   *string
	}{{HeaderSession, &r.Session}, {HeaderIdempotencyKey, &r.IdempotencyKey}, {HeaderClientRequestID, &r.ClientRequestID}} {
		*field.to = header.Get(field.name)
		if len(*field.to) > maxIDBytes || strings.ContainsFunc(*field.to, func(r rune) bool { return r < ' ' || r == 0x7f }) {
			return invalid(field.name, "it must be printable and at most %d bytes", maxIDBytes)
		}
	}
	if r.Session == "" {
		r.Session = user
	}
	if len(r.Session) > maxIDBytes {
		return invalid("user", "it must be at most %d bytes", maxIDBytes)
	}
	if text := header.Get(HeaderFirstTokenTimeout); text != "" {
		ms, err := strconv.Atoi(text)
		if err != nil || ms < 1 || ms > 3_600_000 {
			return invalid(HeaderFirstTokenTimeout, "it must be 1 to 3600000 milliseconds, not %q", text)
		}
		r.FirstTokenTimeout = time.Duration(ms) * time.Millisecond
	}
	if text := header.Get(HeaderRetryCount); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 || n > 1_000_000 {
			return invalid(HeaderRetryCount, "it must be 0 to 1000000, not %q", text)
		}
		r.RetryCount = n
	}
	return nil
}

var roles = []string{"system", "developer", "user", "assistant", "tool", "function"}

// measureMessages measures the prompt and hashes its beginning: the messages before the first that is not an
// instruction, as those are what many sessions have in common.
func (r *Request) measureMessages(messages []Message) error {
	hash, leading := xxhash.New(), true
	for i, message := range messages {
		known := false
		for _, role := range roles {
			known = known || role == message.Role
		}
		if !known {
			return invalid(fmt.Sprintf("messages[%d].role", i), "it must be one of %s", strings.Join(roles, ", "))
		}
		// Four tokens a message: role and separators in common chat templates.
		tokens := EstimateTokens(message.Content) + 4
		r.PromptTokens += tokens
		leading = leading && (message.Role == "system" || message.Role == "developer")
		if leading {
			// Length first, so that no two rows of messages hash alike by moving text from one to the next.
			fmt.Fprintf(hash, "%s %d:", message.Role, len(message.Content))
			hash.Write(message.Content)
			r.PrefixTokens += tokens
		}
	}
	if r.PrefixTokens > 0 {
		r.PrefixHash = fmt.Sprintf("%016x", hash.Sum64())
	}
	return nil
}

// EstimateTokens guesses the tokens of a text: one for four bytes of ASCII, two for three letters of other scripts.
// Against common byte-pair vocabularies it is within a third for English prose and within a half for Nepali; a
// tokenizer at the node will replace it.
func EstimateTokens(text []byte) int {
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

// RewrittenBody is the call's body with some fields put in the place of its own.
func (r *Request) RewrittenBody(replacements map[string]any) ([]byte, error) {
	fields := make(map[string]any, len(r.fields)+len(replacements))
	for name, raw := range r.fields {
		fields[name] = raw
	}
	for name, value := range replacements {
		if value == nil {
			delete(fields, name)
		} else {
			fields[name] = value
		}
	}
	return json.Marshal(fields)
}

// CompletionChunk is what this program reads of a streamed event.
type CompletionChunk struct {
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
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// CompletionBuilder collects a stream into one answer, within a bound of bytes.
type CompletionBuilder struct {
	maxBytes     int
	id           string
	text         strings.Builder
	finishReason string
	tokens       int
	usage        *Usage
}

// NewCompletionBuilder makes one that holds at most bound bytes of text.
func NewCompletionBuilder(maxBytes int) *CompletionBuilder {
	return &CompletionBuilder{maxBytes: maxBytes, finishReason: "stop"}
}

// Add adds an event.
func (b *CompletionBuilder) Add(data []byte) error {
	var chunk CompletionChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return fmt.Errorf("event is not JSON: %w", err)
	}
	if b.id == "" {
		b.id = chunk.ID
	}
	if chunk.Usage != nil {
		b.usage = chunk.Usage
	}
	for _, choice := range chunk.Choices {
		if choice.Index != 0 {
			continue
		}
		if b.text.Len()+len(choice.Delta.Content) > b.maxBytes {
			return errors.New("answer is over its bound")
		}
		if choice.Delta.Content != "" {
			b.tokens++
		}
		b.text.WriteString(choice.Delta.Content)
		if choice.FinishReason != nil {
			b.finishReason = *choice.FinishReason
		}
	}
	return nil
}

// Body is the whole answer.
func (b *CompletionBuilder) Body(request *Request) []byte {
	usage := b.usage
	if usage == nil {
		usage = &Usage{request.PromptTokens, b.tokens, request.PromptTokens + b.tokens}
	}
	body, _ := json.Marshal(map[string]any{"id": b.id, "object": "chat.completion", "model": request.Model,
		"choices": []any{map[string]any{"index": 0, "finish_reason": b.finishReason,
			"message": map[string]any{"role": "assistant", "content": b.text.String()}}},
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
