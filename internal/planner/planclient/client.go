// Package planclient is an edge's client of the planner: it follows the stream of plans and sends the edge's reports. While
// the planner is unavailable, the edge keeps working with the last plan.
package planclient

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"sandcourse/internal/endpoint"
	"sandcourse/internal/planner/planapi"
)

// Defaults and bounds of a client.
const (
	defaultReportInterval = time.Second
	defaultIdleTimeout    = 5 * time.Second
	minReconnectDelay     = 100 * time.Millisecond
	maxReconnectDelay     = time.Second
	maxIdleConnections    = 2
	initialLineBuffer     = 64 << 10
	maxDiscardedBody      = 4096 // limit on the bytes read of an unused response body
)

// ErrStreamEnded reports that the planner ended the stream.
var ErrStreamEnded = errors.New("stream ended")

// StatusError reports that the planner responded with a status other than 200.
type StatusError struct{ Status string }

// Error returns the status.
func (e *StatusError) Error() string { return fmt.Sprintf("unexpected response status %s", e.Status) }

// OldPlanError reports that a planner sent a plan older than the one that the client follows.
type OldPlanError struct{ Term, Number int64 }

// Error returns the plan's term and number.
func (e *OldPlanError) Error() string {
	return fmt.Sprintf("plan of term %d, number %d is older than the current plan", e.Term, e.Number)
}

// Client is an endpoint.Source that follows the planner at the address Addr.
type Client struct {
	Addr           string
	Report         func(ctx context.Context) (planapi.EdgeReport, error) // source of the edge's reports; nil to send no reports
	ReportInterval time.Duration                                         // interval of reports; 0 for one second
	IdleTimeout    time.Duration                                         // maximum time between lines of the stream; 0 for 5 s
	Now            func() int64                                          // clock in Unix milliseconds; nil for the system clock
}

// Run follows the planner until the context ends. It calls onList with each newer plan, and onError with each error that
// differs from the last one.
func (c Client) Run(ctx context.Context, onList func(endpoint.List), onError func(error)) {
	c.setDefaults()
	httpClient := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}}
	defer httpClient.CloseIdleConnections()
	followed := &followedPlan{startTimes: startTimes{}}
	var tasks sync.WaitGroup
	defer tasks.Wait()
	if c.Report != nil {
		tasks.Go(func() { c.sendReports(ctx, httpClient, followed) })
	}
	lastError := ""
	for ctx.Err() == nil {
		err := c.followStream(ctx, httpClient, followed, onList)
		if ctx.Err() != nil {
			return
		}
		if err.Error() != lastError {
			lastError = err.Error()
			onError(fmt.Errorf("planner %s: %w; the previous plan stays in use", c.Addr, err))
		}
		select {
		case <-ctx.Done():
		case <-time.After(reconnectDelay()):
		}
	}
}

func (c *Client) setDefaults() {
	if c.ReportInterval <= 0 {
		c.ReportInterval = defaultReportInterval
	}
	if c.IdleTimeout <= 0 {
		c.IdleTimeout = defaultIdleTimeout
	}
	if c.Now == nil {
		c.Now = func() int64 { return time.Now().UnixMilli() }
	}
}

// reconnectDelay returns a random delay: all edges lose the planner at the same time and must not all reconnect at once.
func reconnectDelay() time.Duration {
	return minReconnectDelay + time.Duration(rand.Int64N(int64(maxReconnectDelay-minReconnectDelay)))
}

// followStream follows one stream until it ends, and returns why it ended.
func (c Client) followStream(ctx context.Context, httpClient *http.Client, followed *followedPlan,
	onList func(endpoint.List)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idle := time.AfterFunc(c.IdleTimeout, cancel)
	defer idle.Stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Addr+planapi.StreamPath, nil)
	if err != nil {
		return err
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return &StatusError{Status: response.Status}
	}
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(make([]byte, 0, initialLineBuffer), planapi.MaxPlanBytes+1)
	for lines.Scan() {
		idle.Reset(c.IdleTimeout)
		if err := c.handleLine(lines.Bytes(), followed, onList); err != nil {
			return err
		}
	}
	if err := lines.Err(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return ErrStreamEnded
}

// handleLine handles one line of the stream: a plan, or an empty line as a heartbeat. A truncated line is an error, too: the
// next stream starts with the complete plan.
func (c Client) handleLine(line []byte, followed *followedPlan, onList func(endpoint.List)) error {
	if len(bytes.TrimSpace(line)) == 0 {
		return nil
	}
	plan, err := planapi.ParsePlan(line)
	if err != nil {
		return err
	}
	newer, err := followed.replace(plan)
	if err != nil || !newer {
		return err
	}
	list := plan.EndpointList(c.Now())
	followed.startTimes.stabilize(&list)
	onList(list)
	return nil
}

// followedPlan is the newest plan of all streams so far.
type followedPlan struct {
	startTimes startTimes // start times, owned by the goroutine that follows the stream

	mu   sync.Mutex
	plan planapi.Plan
}

// replace adopts a plan if it is newer than the current one. An older plan is an error.
func (f *followedPlan) replace(plan planapi.Plan) (newer bool, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.plan.Newer(plan) {
		return false, &OldPlanError{Term: plan.Term, Number: plan.Number}
	}
	if !plan.Newer(f.plan) {
		return false, nil
	}
	f.plan = plan
	return true, nil
}

// current returns the term and the number of the current plan.
func (f *followedPlan) current() (term, number int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.plan.Term, f.plan.Number
}
