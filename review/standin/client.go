package standin

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
)

// Client is a stand-in for the clients of a node: it keeps its connections, and sends one request at a time on each.
type Client struct {
	http *http.Client
	node string
}

// NewClient returns a client of a node.
func NewClient(node string) *Client {
	return &Client{&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true}}, node}
}

// Answer is what a client received for a request.
type Answer struct {
	Status int      // 0 if there was no answer
	Events []string // data of the events of a stream
	Whole  bool     // the answer came to its last byte
	Error  error
}

// Send sends a request and reads the answer to its end.
func (c *Client) Send(ctx context.Context, id string, route *Route) (answer Answer) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.node+"/v1/chat/completions",
		strings.NewReader(`{"model":"chat","stream":true,"max_tokens":300,"messages":[{"role":"user","content":"`+id+`"}]}`))
	if err != nil {
		answer.Error = err
		return answer
	}
	request.Header.Set("Request-Id", id)
	request.Header.Set("Request-Class", route.Name)
	request.Header.Set("Affinity-Key", "s-"+id)
	request.Header.Set("Request-Timeout", fmt.Sprintf("%.3f", route.Deadline.Seconds()))
	request.Header.Set("Request-Info", "prompt_len=500,max_out=300")
	request.Header["X-Idempotency-Key"] = nil // Not sent: a request that crosses the close of its connection is sent once more.
	response, err := c.http.Do(request)
	if err != nil {
		answer.Error = err
		return answer
	}
	defer response.Body.Close()
	answer.Status = response.StatusCode
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			answer.Events = append(answer.Events, data)
		}
	}
	answer.Error = lines.Err()
	answer.Whole = answer.Error == nil
	return answer
}

// ForeignEvent returns the first event with text that was not written for the request; empty if there is none.
func (a *Answer) ForeignEvent(id string) string {
	for _, event := range a.Events {
		if strings.Contains(event, `"content":`) && !strings.Contains(event, `"`+id+"/") {
			return event
		}
	}
	return ""
}
