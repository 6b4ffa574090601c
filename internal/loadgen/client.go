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

// Ask is one try of a client.
type Ask struct {
	Route, Session, Request string
	Messages                []Line
	Most                    int
	GiveUp                  time.Duration
	Whole                   bool // one answer, not a stream
	LeaveAfter              time.Duration
	Mark                    string
}

// Line is one message.
type Line struct {
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

// Grace is how long past its own patience a client still listens, so that a late answer is seen to be late.
const Grace = 2 * time.Second

// Do makes one try and tells how it ended. advice is what a shed answer said of coming back.
func (c *Client) Do(ctx context.Context, edge string, ask Ask) (seen audit.Call, advice time.Duration) {
	seen = audit.Call{Request: ask.Request, Route: ask.Route, Edge: edge, Sent: time.Now(), Final: "lost"}
	seen.GiveUp = seen.Sent.Add(ask.GiveUp)
	ctx, cancel := context.WithTimeout(ctx, ask.GiveUp+60*time.Second)
	defer cancel()
	if ask.LeaveAfter > 0 {
		ctx, cancel = context.WithTimeout(ctx, ask.LeaveAfter)
		defer cancel()
	}
	body, _ := json.Marshal(map[string]any{"model": ask.Route, "messages": ask.Messages, "stream": !ask.Whole,
		"max_tokens": max(1, ask.Most)})
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+edge+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		seen.Why, seen.End = err.Error(), time.Now()
		return seen, 0
	}
	// The client's own transport must not try again by itself: that would be a second try unseen.
	r.GetBody = nil
	for name, v := range map[string]string{"Content-Type": "application/json", chat.HeaderSession: ask.Session,
		chat.HeaderClientRequestID: ask.Request, chat.HeaderIdempotencyKey: ask.Mark,
		chat.HeaderFirstTokenTimeout: strconv.FormatInt(ask.GiveUp.Milliseconds(), 10)} {
		if v != "" {
			r.Header.Set(name, v)
		}
	}
	answer, err := c.http.Do(r)
	if err != nil {
		seen.End, seen.Why = time.Now(), err.Error()
		if ask.LeaveAfter > 0 && errors.Is(err, context.DeadlineExceeded) {
			seen.Final = "left"
		}
		return seen, 0
	}
	defer answer.Body.Close()
	seen.Inference = answer.Header.Get(chat.HeaderRequestID)
	if answer.StatusCode == http.StatusOK && !ask.Whole {
		c.stream(answer.Body, &seen, ask)
		return seen, 0
	}
	text, err := io.ReadAll(io.LimitReader(answer.Body, 8<<20))
	seen.End = time.Now()
	if err != nil {
		seen.Why = err.Error()
		return seen, 0
	}
	seen.Finals = 1
	seen.Final = answer.Header.Get(chat.HeaderOutcome)
	if answer.StatusCode == http.StatusOK {
		seen.First, seen.Tokens = seen.End.Sub(seen.Sent), bytes.Count(text, []byte(" "))
	} else {
		seen.Why = string(text)
	}
	if seen.Final == "" {
		seen.Final = "refused " + strconv.Itoa(answer.StatusCode)
	}
	ms, _ := strconv.Atoi(answer.Header.Get("Retry-After-Ms"))
	return seen, time.Duration(ms) * time.Millisecond
}

// stream reads events up to the end of the body, whatever came: a second final answer must be seen.
func (c *Client) stream(body io.Reader, seen *audit.Call, ask Ask) {
	events := chat.NewDecoder(1 << 20)
	buf := make([]byte, 4096)
	for {
		n, err := body.Read(buf)
		bad := events.Feed(buf[:n], func(data []byte) {
			var failed struct{ Error *json.RawMessage }
			switch {
			case string(data) == chat.Done:
				seen.Finals++
				seen.Final, seen.End = "completed", time.Now()
			case json.Unmarshal(data, &failed) == nil && failed.Error != nil:
				seen.Finals++
				seen.Final, seen.End, seen.Why = "errored", time.Now(), string(data)
			default:
				if seen.First == 0 {
					seen.First = time.Since(seen.Sent)
				}
				seen.Tokens++
			}
		})
		if err == nil {
			err = bad
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			seen.Why = err.Error()
			if seen.Finals == 0 && ask.LeaveAfter > 0 && errors.Is(err, context.DeadlineExceeded) {
				seen.Final = "left"
			}
			break
		}
	}
	if seen.End.IsZero() {
		seen.End = time.Now()
	}
}
