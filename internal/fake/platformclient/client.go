// Package platformclient implements a fake client of the operators' platform, which sends requests at a fixed rate and records the
// responses for package audit.
package platformclient

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"sandcourse/internal/audit"
	"sandcourse/internal/protocol/chat"
	"sandcourse/internal/protocol/platform"
)

const (
	// maxIdleConnections is the number of idle connections kept to one router.
	maxIdleConnections = 200
	// lateResponseTimeout is how long a client waits past the deadline, so that a late response is recorded as late.
	lateResponseTimeout = 5 * time.Second
)

// Client sends requests of one class to one router.
type Client struct {
	Address string // address of the router
	Class   string // request class
	Log     *audit.Log
}

// SendAtRate sends requests at a rate for a duration, without waiting for responses in between, and then waits for all responses.
// The ID of a request is idPrefix and a number. SendAtRate returns the number of requests sent.
func (c Client) SendAtRate(idPrefix string, perSecond int, duration, deadline time.Duration) (sent int) {
	httpClient := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}}
	defer httpClient.CloseIdleConnections()
	var requests sync.WaitGroup
	interval := time.Second / time.Duration(perSecond)
	start := time.Now()
	for offset := time.Duration(0); offset < duration; offset += interval {
		time.Sleep(time.Until(start.Add(offset)))
		id := fmt.Sprint(idPrefix, sent)
		sent++
		requests.Go(func() { c.Log.RecordClient(c.send(httpClient, id, deadline)) })
	}
	requests.Wait()
	return sent
}

// send sends one request and reads its response to the end.
func (c Client) send(httpClient *http.Client, id string, deadline time.Duration) (record audit.ClientRecord) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline+lateResponseTimeout)
	defer cancel()
	now := time.Now()
	record = audit.ClientRecord{ClientRequestID: id, RequestID: id, Route: c.Class, Edge: c.Address, Sent: now, Deadline: now.Add(deadline)}
	defer func() { record.End = time.Now() }()
	r, err := c.newRequest(ctx, id, deadline)
	if err != nil {
		record.Outcome, record.Reason = audit.OutcomeLost, err.Error()
		return record
	}
	response, err := httpClient.Do(r)
	if err != nil {
		record.Outcome, record.Reason = audit.OutcomeLost, err.Error()
		return record
	}
	defer response.Body.Close()
	readResponse(response, &record)
	return record
}

func (c Client) newRequest(ctx context.Context, id string, deadline time.Duration) (*http.Request, error) {
	url := "http://" + c.Address + platform.CompletionsPath
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(`{"model":"chat"}`))
	if err != nil {
		return nil, err
	}
	r.Header.Set(platform.HeaderRequestID, id)
	r.Header.Set(platform.HeaderRequestClass, c.Class)
	r.Header.Set(platform.HeaderAffinityKey, "s"+id)
	r.Header.Set(platform.HeaderTimeout, fmt.Sprintf("%.3f", deadline.Seconds()))
	r.Header["X-Idempotency-Key"] = nil // The header is not sent, but net/http retries if the server closes the idle connection.
	return r, nil
}

// readResponse reads a response to its end and records the outcome.
func readResponse(response *http.Response, record *audit.ClientRecord) {
	record.OutcomeCount, record.Outcome = 1, audit.OutcomeErrored
	if response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests {
		record.Outcome = audit.OutcomeShed
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if response.StatusCode != http.StatusOK {
			continue
		}
		if record.FirstToken == 0 {
			record.FirstToken = time.Since(record.Sent)
		}
		if lines.Text() == "data: "+chat.Done {
			record.Outcome = audit.OutcomeCompleted
		}
	}
	if err := lines.Err(); err != nil {
		record.Outcome, record.Reason = audit.OutcomeLost, err.Error()
	}
}
