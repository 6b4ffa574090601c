package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"sandcourse/internal/protocol"
)

// Limits of a request apart from its size in bytes.
const (
	maxIDBytes = 128              // length of a request ID, an affinity key or a prefix
	maxTokens  = 1 << 24          // limit of any field that counts tokens
	maxTimeout = 10 * time.Minute // limit of the value of HeaderTimeout
)

// bytesPerToken is used to estimate the length of a prompt if the client does not send it.
const bytesPerToken = 4

// resumeRetry is the value of HeaderClientRetry that requests the rest of a truncated stream.
const resumeRetry = "again"

// errNotObject reports a body that is not a JSON object. No engine can use such a body; if it were forwarded, the engine's error
// response would look like a fault of the engine.
var errNotObject = errors.New("the body is no JSON object")

// HeaderError reports an invalid header of a client's request.
type HeaderError struct {
	Header  string // name of the header, and of the field within it if it has several: "Request-Info: prefix"
	Problem string // description of the fault or of the allowed values
}

// Error returns the header and the problem.
func (e *HeaderError) Error() string { return e.Header + " " + e.Problem }

func headerError(header, format string, args ...any) error {
	return &HeaderError{header, fmt.Sprintf(format, args...)}
}

// ParseRequest implements protocol.ClientCodec. Requests of the platform have no tenant.
func (c *Codec) ParseRequest(r *http.Request, body []byte) (*protocol.Request, string, *protocol.Response) {
	if r.URL.Path != CompletionsPath || r.Method != http.MethodPost {
		return nil, "", nil
	}
	request, err := parseRequest(r, body)
	if err != nil {
		rejection := c.InvalidRequestResponse(http.StatusBadRequest, "bad_call", "", err.Error())
		return nil, "", &rejection
	}
	return request, "", nil
}

// singleHeaders are the headers that a request must not repeat.
var singleHeaders = []string{HeaderRequestID, HeaderRequestClass, HeaderAffinityKey, HeaderTimeout, HeaderRequestInfo,
	HeaderClientRetry}

func parseRequest(r *http.Request, body []byte) (*protocol.Request, error) {
	for _, name := range singleHeaders {
		if len(r.Header.Values(name)) > 1 {
			return nil, headerError(name, "stands twice")
		}
	}
	retry := r.Header.Get(HeaderClientRetry)
	request := &protocol.Request{
		ID:              r.Header.Get(HeaderRequestID),
		Route:           r.Header.Get(HeaderRequestClass),
		Session:         r.Header.Get(HeaderAffinityKey),
		PromptTokens:    len(body) / bytesPerToken,
		MaxOutputTokens: protocol.DefaultMaxOutputTokens,
		Stream:          true,
		Idempotent:      retry != "",
		Resumes:         retry == resumeRetry,
		Retried:         retry != "",
		ProtocolData:    &forwardedRequest{r.Method + " " + r.RequestURI, forwardedFields(r.Header), body},
	}
	switch {
	case !validRequestID(request.ID):
		return nil, headerError(HeaderRequestID, "must be 1 to %d letters, digits, - or _", maxIDBytes)
	case request.Route == "":
		return nil, headerError(HeaderRequestClass, "is missing")
	case len(request.Session) > maxIDBytes:
		return nil, headerError(HeaderAffinityKey, "must have at most %d bytes", maxIDBytes)
	}
	var err error
	if request.FirstTokenTimeout, err = parseTimeout(r.Header.Get(HeaderTimeout)); err != nil {
		return nil, err
	}
	if err := parseRequestInfo(request, r.Header.Get(HeaderRequestInfo)); err != nil {
		return nil, err
	}
	if !json.Valid(body) || bytes.TrimLeft(body, " \t\r\n")[0] != '{' {
		return nil, errNotObject
	}
	return request, nil
}

// validRequestID reports whether an ID can be used in a path and in a header without escaping.
func validRequestID(id string) bool {
	return id != "" && len(id) <= maxIDBytes && !strings.ContainsFunc(id, needsEscape) && strings.Trim(id, ".") != ""
}

// needsEscape reports whether a character must be escaped in a path (RFC 3986, section 2.3).
func needsEscape(r rune) bool {
	return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("-_.~", r))
}

func parseTimeout(text string) (time.Duration, error) {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds > 0 && seconds <= maxTimeout.Seconds()) {
		return 0, headerError(HeaderTimeout, "must be seconds over 0 and up to %v, not %q", maxTimeout.Seconds(), text)
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

// parseRequestInfo parses the token counts and the prefix that a client sends; unknown fields are skipped.
func parseRequestInfo(request *protocol.Request, text string) error {
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		var tokens *int
		switch name {
		case "prefix":
			if len(value) > maxIDBytes {
				return headerError(HeaderRequestInfo+": prefix", "must have at most %d bytes", maxIDBytes)
			}
			request.Prefix = strings.Clone(value) // It is remembered for long; the whole field must not be.
			continue
		case "prompt_len":
			tokens = &request.PromptTokens
		case "prefix_len":
			tokens = &request.PrefixTokens
		case "max_out":
			tokens = &request.MaxOutputTokens
		default:
			continue
		}
		n, err := strconv.Atoi(value)
		if err != nil || n < 0 || n > maxTokens {
			return headerError(HeaderRequestInfo+": "+name, "must be 0 to %d, not %q", maxTokens, value)
		}
		*tokens = n
	}
	return nil
}
