package chat

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"sandcourse/internal/protocol"
)

// Limits of one request apart from its size in bytes.
const (
	maxMessages            = 4096
	maxFields              = 256     // fields of the body; each takes more memory than its text
	maxIDBytes             = 256     // length of a session, an idempotency key, a request ID or a model
	maxTokens              = 1 << 20 // limit of the field max_tokens
	maxFirstTokenTimeoutMs = 3_600_000
	maxRetryCount          = 1_000_000
)

// Request is a completion request of a client.
type Request struct {
	Model             string
	Session           string // key of the session; empty if the client sent none
	PrefixHash        string // hash of the leading messages that sessions may share; empty without such messages
	PromptTokens      int    // tokens of the prompt, estimated by EstimateTokens
	PrefixTokens      int    // estimated tokens of the leading messages
	MaxOutputTokens   int
	Stream            bool
	IdempotencyKey    string
	ClientRequestID   string                     // the client's own ID of the request
	RetryCount        int                        // number of the client's earlier attempts; 0 if unspecified
	FirstTokenTimeout time.Duration              // time that the client waits for the first token; 0 if unspecified
	fields            map[string]json.RawMessage // all fields of the body, undecoded
}

// InvalidRequestError reports what the client must change in a request.
type InvalidRequestError struct {
	Status int    // status of the response
	Param  string // name of the invalid field or header
	Reason string
}

// Error returns the parameter and the reason.
func (e *InvalidRequestError) Error() string { return e.Param + ": " + e.Reason }

func paramError(param, format string, args ...any) error {
	return &InvalidRequestError{http.StatusBadRequest, param, fmt.Sprintf(format, args...)}
}

// ParseRequest decodes and validates a request. Errors are of type *InvalidRequestError.
func ParseRequest(body []byte, header http.Header) (*Request, error) {
	if !utf8.Valid(body) {
		return nil, paramError("body", "must be UTF-8")
	}
	r := &Request{}
	if err := json.Unmarshal(body, &r.fields); err != nil || r.fields == nil {
		return nil, paramError("body", "must be a JSON object: %v", err)
	}
	if len(r.fields) > maxFields {
		return nil, paramError("body", "must have at most %d fields", maxFields)
	}
	decoded, err := r.decodeFields()
	if err != nil {
		return nil, err
	}
	switch {
	case r.Model == "" || len(r.Model) > maxIDBytes:
		return nil, paramError("model", "must name a model route in at most %d bytes", maxIDBytes)
	case len(decoded.messages) == 0 || len(decoded.messages) > maxMessages:
		return nil, paramError("messages", "must have 1 to %d entries", maxMessages)
	}
	r.MaxOutputTokens = decoded.maxOutputTokens()
	if r.MaxOutputTokens < 1 || r.MaxOutputTokens > maxTokens {
		return nil, paramError("max_tokens", "must be 1 to %d", maxTokens)
	}
	if err := r.parseHeaders(header, decoded.user); err != nil {
		return nil, err
	}
	return r, r.measureMessages(decoded.messages)
}

// decodedFields are the fields of the body that a Request does not store unchanged.
type decodedFields struct {
	user                string
	maxTokens           *int
	maxCompletionTokens *int // replaces maxTokens if present
	messages            []Message
}

// decodeFields decodes the fields of the body that the router uses.
func (r *Request) decodeFields() (decoded decodedFields, err error) {
	for _, field := range []struct {
		name string
		to   any
		want string
	}{
		{"model", &r.Model, "a string"}, {"stream", &r.Stream, "true or false"}, {"user", &decoded.user, "a string"},
		{"max_tokens", &decoded.maxTokens, "an integer"},
		{"max_completion_tokens", &decoded.maxCompletionTokens, "an integer"},
		{"messages", &decoded.messages, "a list of messages"},
	} {
		if raw, ok := r.fields[field.name]; ok && json.Unmarshal(raw, field.to) != nil {
			return decoded, paramError(field.name, "must be %s", field.want)
		}
	}
	choices := 0
	if raw, ok := r.fields["n"]; ok && (json.Unmarshal(raw, &choices) != nil || choices != 1) {
		return decoded, paramError("n", "must be 1; only one completion per request is supported")
	}
	return decoded, nil
}

func (d *decodedFields) maxOutputTokens() int {
	switch {
	case d.maxCompletionTokens != nil:
		return *d.maxCompletionTokens
	case d.maxTokens != nil:
		return *d.maxTokens
	}
	return protocol.DefaultMaxOutputTokens
}

// parseHeaders parses the headers of the API. Without a session header, the user in the body is the session.
func (r *Request) parseHeaders(header http.Header, user string) error {
	for _, field := range []struct {
		name string
		to   *string
	}{{HeaderSession, &r.Session}, {HeaderIdempotencyKey, &r.IdempotencyKey}, {HeaderClientRequestID, &r.ClientRequestID}} {
		*field.to = header.Get(field.name)
		if len(*field.to) > maxIDBytes || strings.ContainsFunc(*field.to, isControl) {
			return paramError(field.name, "must be printable and have at most %d bytes", maxIDBytes)
		}
	}
	if r.Session == "" {
		r.Session = user
	}
	if len(r.Session) > maxIDBytes {
		return paramError("user", "must have at most %d bytes", maxIDBytes)
	}
	timeoutMs, err := parseNumberHeader(header, HeaderFirstTokenTimeout, 1, maxFirstTokenTimeoutMs, " milliseconds")
	if err != nil {
		return err
	}
	r.FirstTokenTimeout = time.Duration(timeoutMs) * time.Millisecond
	r.RetryCount, err = parseNumberHeader(header, HeaderRetryCount, 0, maxRetryCount, "")
	return err
}

func isControl(r rune) bool { return r < ' ' || r == 0x7f }

// parseNumberHeader returns the number in a header, or 0 if the header is absent.
func parseNumberHeader(header http.Header, name string, least, most int, unit string) (int, error) {
	text := header.Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < least || n > most {
		return 0, paramError(name, "must be %d to %d%s, not %q", least, most, unit, text)
	}
	return n, nil
}

// Replacements are new values for fields of a request body; nil removes a field.
type Replacements map[string]any

// RewrittenBody returns the body of the request with the given fields replaced.
func (r *Request) RewrittenBody(replacements Replacements) ([]byte, error) {
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
