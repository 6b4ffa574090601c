package parts

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Answer is what a client got for a request.
type Answer struct {
	Request   string
	Status    int // 0 if the connection ended without an answer
	Events    []string
	Whole     bool          // a stream that ended with its last chunk
	Late      time.Duration // time from the end of the request's time to that of the answer
	FirstLate time.Duration // the same to the head of the answer
	Err       error
}

// Client is a usual client. It keeps its connections.
type Client struct {
	Node   *Node
	Record *Record
	HTTP   *http.Client
	Class  string
	// Patience is how long the client waits for the end of an answer after the request's time.
	Patience time.Duration
}

// NewClient returns a client of a node.
func NewClient(n *Node, record *Record, class string) *Client {
	return &Client{Node: n, Record: record, Class: class, Patience: 20 * time.Second, HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
}

// Send sends a request and reads the answer to its end. It waits for Patience past the request's time.
func (c *Client) Send(ctx context.Context, id string, limit time.Duration) Answer {
	ctx, cancel := context.WithTimeout(ctx, limit+c.Patience)
	defer cancel()
	body := fmt.Sprintf(`{"model":"chat","stream":true,"max_tokens":50,"messages":[{"role":"user","content":%q}]}`, id)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Node.Address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return Answer{Request: id, Err: err}
	}
	for name, value := range map[string]string{"Request-Id": id, "Request-Class": c.Class, "Affinity-Key": "s" + id,
		"Request-Timeout": fmt.Sprintf("%.3f", limit.Seconds()), "Request-Info": "prompt_len=400,prefix_len=0,max_out=50"} {
		r.Header.Set(name, value)
	}
	sent := time.Now()
	c.Record.Add("client: sends %s", id)
	a, head := c.read(r, id)
	a.Late, a.FirstLate = max(0, time.Since(sent)-limit), max(0, head.Sub(sent)-limit)
	c.Record.Add("client: %s got status %d, %d events, whole %t, error %v", id, a.Status, len(a.Events), a.Whole, a.Err)
	return a
}

// read sends a request and reads the answer. It also returns when the head of the answer came.
func (c *Client) read(r *http.Request, id string) (a Answer, head time.Time) {
	a = Answer{Request: id}
	response, err := c.HTTP.Do(r)
	if err != nil {
		a.Err = err
		return a, time.Now()
	}
	defer response.Body.Close()
	a.Status, head = response.StatusCode, time.Now()
	lines := bufio.NewReader(response.Body)
	for {
		line, err := lines.ReadString('\n')
		if data, ok := strings.CutPrefix(line, "data: "); ok && a.Status == http.StatusOK {
			a.Events = append(a.Events, strings.TrimSpace(data))
		}
		if errors.Is(err, io.EOF) {
			a.Whole = true
			return a, head
		}
		if err != nil {
			a.Err = err
			return a, head
		}
	}
}
