// Package loadgen implements a client of the chat API that records the outcome of each attempt, and a generator of traffic with
// sessions, shared prefixes, retries and timeouts.
package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"sandcourse/internal/audit"
	"sandcourse/internal/protocol/chat"
)

const (
	dialTimeout      = 2 * time.Second
	idleTimeout      = 20 * time.Second
	maxIdlePerEdge   = 4096
	responseTimeout  = 60 * time.Second // time beyond the timeout of the request, so that a late response is recorded as late
	maxResponseBytes = 8 << 20
	maxEventBytes    = 1 << 20
	readBufferSize   = 4096

	completionsPath = "/v1/chat/completions"
	// headerRetryAfterMillis is Retry-After in milliseconds.
	headerRetryAfterMillis = "Retry-After-Ms"
)

// Request is one request of a client.
type Request struct {
	Route           string // name of the route, sent as the model
	Session         string
	RequestID       string // ID chosen by the client, the same for all attempts
	Messages        []Message
	MaxTokens       int
	Timeout         time.Duration // limit on the time to the first token, sent to the edge
	Unary           bool          // one response is requested instead of a stream
	DisconnectAfter time.Duration // time after which the client disconnects; 0 for never
	IdempotencyKey  string
}

// Message is one message of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// requestBody is the body of a request. The fields are in the order in which they are sent.
type requestBody struct {
	MaxTokens int       `json:"max_tokens"`
	Messages  []Message `json:"messages"`
	Model     string    `json:"model"`
	Stream    bool      `json:"stream"`
}

func (r Request) body() ([]byte, error) {
	return json.Marshal(requestBody{MaxTokens: max(1, r.MaxTokens), Messages: r.Messages, Model: r.Route, Stream: !r.Unary})
}

// setHeaders sets the headers whose value is not empty.
func (r Request) setHeaders(h http.Header) {
	for name, value := range map[string]string{"Content-Type": "application/json", chat.HeaderSession: r.Session,
		chat.HeaderClientRequestID: r.RequestID, chat.HeaderIdempotencyKey: r.IdempotencyKey,
		chat.HeaderFirstTokenTimeout: strconv.FormatInt(r.Timeout.Milliseconds(), 10)} {
		if value != "" {
			h.Set(name, value)
		}
	}
}

// isDisconnect reports whether an error is due to the client's early disconnect.
func (r Request) isDisconnect(err error) bool {
	return r.DisconnectAfter > 0 && errors.Is(err, context.DeadlineExceeded)
}

// Client is a chat API client that reuses connections to edges.
type Client struct{ http *http.Client }

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdlePerEdge, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, IdleConnTimeout: idleTimeout}}}
}

// Close closes the client's idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Do sends one attempt and returns the record of its outcome. retryAfter is the delay that a response suggests for a retry.
func (c *Client) Do(ctx context.Context, edge string, request Request) (record audit.ClientRecord, retryAfter time.Duration) {
	record = audit.ClientRecord{ClientRequestID: request.RequestID, Route: request.Route, Edge: edge, Sent: time.Now(),
		Outcome: audit.OutcomeLost}
	record.Deadline = record.Sent.Add(request.Timeout)
	ctx, cancel := context.WithTimeout(ctx, request.Timeout+responseTimeout)
	defer cancel()
	if request.DisconnectAfter > 0 {
		ctx, cancel = context.WithTimeout(ctx, request.DisconnectAfter)
		defer cancel()
	}
	response, err := c.send(ctx, edge, request)
	if err != nil {
		record.End, record.Reason = time.Now(), err.Error()
		if request.isDisconnect(err) {
			record.Outcome = audit.OutcomeAbandoned
		}
		return record, 0
	}
	defer response.Body.Close()
	record.RequestID = response.Header.Get(chat.HeaderRequestID)
	if response.StatusCode == http.StatusOK && !request.Unary {
		readStream(response.Body, &record, request)
		return record, 0
	}
	readUnary(response, &record)
	milliseconds, _ := strconv.Atoi(response.Header.Get(headerRetryAfterMillis))
	return record, time.Duration(milliseconds) * time.Millisecond
}

func (c *Client) send(ctx context.Context, edge string, request Request) (*http.Response, error) {
	body, err := request.body()
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+edge+completionsPath, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.GetBody = nil // A nil GetBody keeps the transport from retrying, because its retries would not be recorded.
	request.setHeaders(r.Header)
	return c.http.Do(r)
}

// readUnary reads a response that is not a stream.
func readUnary(response *http.Response, record *audit.ClientRecord) {
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	record.End = time.Now()
	if err != nil {
		record.Reason = err.Error()
		return
	}
	record.OutcomeCount = 1
	record.Outcome = audit.Outcome(response.Header.Get(chat.HeaderOutcome))
	if response.StatusCode == http.StatusOK {
		record.FirstToken, record.Tokens = record.End.Sub(record.Sent), bytes.Count(text, []byte(" "))
	} else {
		record.Reason = string(text)
	}
	if record.Outcome == "" {
		record.Outcome = audit.Outcome("refused " + strconv.Itoa(response.StatusCode))
	}
}

// readStream reads all events up to the end of the body, even after a final event, so that a second final event is recorded.
func readStream(body io.Reader, record *audit.ClientRecord, request Request) {
	events := chat.NewEventDecoder(maxEventBytes)
	buffer := make([]byte, readBufferSize)
	var err error
	for err == nil {
		var n int
		n, err = body.Read(buffer)
		feedErr := events.Feed(buffer[:n], func(data []byte) { readEvent(data, record) })
		if err == nil {
			err = feedErr
		}
	}
	if !errors.Is(err, io.EOF) {
		record.Reason = err.Error()
		if record.OutcomeCount == 0 && request.isDisconnect(err) {
			record.Outcome = audit.OutcomeAbandoned
		}
	}
	if record.End.IsZero() {
		record.End = time.Now()
	}
}

// readEvent records one event of a stream: a token, an error or the completion.
func readEvent(data []byte, record *audit.ClientRecord) {
	var errorEvent struct{ Error *json.RawMessage }
	switch {
	case string(data) == chat.Done:
		record.OutcomeCount++
		record.Outcome, record.End = audit.OutcomeCompleted, time.Now()
	case json.Unmarshal(data, &errorEvent) == nil && errorEvent.Error != nil:
		record.OutcomeCount++
		record.Outcome, record.End, record.Reason = audit.OutcomeErrored, time.Now(), string(data)
	default:
		if record.FirstToken == 0 {
			record.FirstToken = time.Since(record.Sent)
		}
		record.Tokens++
	}
}
