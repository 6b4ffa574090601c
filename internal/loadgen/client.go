// Package load is a client of the chat API that keeps count, and a source of traffic: sessions, shared
// beginnings, retries and patience. It tells what clients saw, nothing else.
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

// Request is one try of a client.
type Request struct {
	Route, Session, RequestID string
	Messages                  []Message
	MaxTokens                 int
	Timeout                   time.Duration
	Unary                     bool // one answer, not a stream
	DisconnectAfter           time.Duration
	IdempotencyKey            string
}

// Message is one message.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Client keeps connections to edges.
type Client struct{ http *http.Client }

// NewClient makes one.
func NewClient() *Client {
	return &Client{&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: 2 * time.Second}).DialContext, IdleConnTimeout: 20 * time.Second}}}
}

// Close ends its idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// LateListening is how long past its own patience a client still listens, so that a late answer is seen to be late.
const LateListening = 2 * time.Second

// Do makes one try and tells how it ended. advice is what a shed answer said of coming back.
func (c *Client) Do(ctx context.Context, edge string, request Request) (record audit.ClientRecord, retryAfter time.Duration) {
	record = audit.ClientRecord{ClientRequestID: request.RequestID, Route: request.Route, Edge: edge, Sent: time.Now(), Outcome: audit.OutcomeLost}
	record.Deadline = record.Sent.Add(request.Timeout)
	ctx, cancel := context.WithTimeout(ctx, request.Timeout+60*time.Second)
	defer cancel()
	if request.DisconnectAfter > 0 {
		ctx, cancel = context.WithTimeout(ctx, request.DisconnectAfter)
		defer cancel()
	}
	body, _ := json.Marshal(map[string]any{"model": request.Route, "messages": request.Messages, "stream": !request.Unary,
		"max_tokens": max(1, request.MaxTokens)})
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+edge+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		record.Reason, record.End = err.Error(), time.Now()
		return record, 0
	}
	// The client's own transport must not try again by itself: that would be a second try unseen.
	httpRequest.GetBody = nil
	for name, v := range map[string]string{"Content-Type": "application/json", chat.HeaderSession: request.Session,
		chat.HeaderClientRequestID: request.RequestID, chat.HeaderIdempotencyKey: request.IdempotencyKey,
		chat.HeaderFirstTokenTimeout: strconv.FormatInt(request.Timeout.Milliseconds(), 10)} {
		if v != "" {
			httpRequest.Header.Set(name, v)
		}
	}
	response, err := c.http.Do(httpRequest)
	if err != nil {
		record.End, record.Reason = time.Now(), err.Error()
		if request.DisconnectAfter > 0 && errors.Is(err, context.DeadlineExceeded) {
			record.Outcome = audit.OutcomeAbandoned
		}
		return record, 0
	}
	defer response.Body.Close()
	record.RequestID = response.Header.Get(chat.HeaderRequestID)
	if response.StatusCode == http.StatusOK && !request.Unary {
		c.stream(response.Body, &record, request)
		return record, 0
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, 8<<20))
	record.End = time.Now()
	if err != nil {
		record.Reason = err.Error()
		return record, 0
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
	ms, _ := strconv.Atoi(response.Header.Get("Retry-After-Ms"))
	return record, time.Duration(ms) * time.Millisecond
}

// stream reads events up to the end of the body, whatever came: a second final answer must be seen.
func (c *Client) stream(body io.Reader, record *audit.ClientRecord, request Request) {
	events := chat.NewDecoder(1 << 20)
	buf := make([]byte, 4096)
	for {
		n, err := body.Read(buf)
		feedErr := events.Feed(buf[:n], func(data []byte) {
			var failed struct{ Error *json.RawMessage }
			switch {
			case string(data) == chat.Done:
				record.OutcomeCount++
				record.Outcome, record.End = audit.OutcomeCompleted, time.Now()
			case json.Unmarshal(data, &failed) == nil && failed.Error != nil:
				record.OutcomeCount++
				record.Outcome, record.End, record.Reason = audit.OutcomeErrored, time.Now(), string(data)
			default:
				if record.FirstToken == 0 {
					record.FirstToken = time.Since(record.Sent)
				}
				record.Tokens++
			}
		})
		if err == nil {
			err = feedErr
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			record.Reason = err.Error()
			if record.OutcomeCount == 0 && request.DisconnectAfter > 0 && errors.Is(err, context.DeadlineExceeded) {
				record.Outcome = audit.OutcomeAbandoned
			}
			break
		}
	}
	if record.End.IsZero() {
		record.End = time.Now()
	}
}
