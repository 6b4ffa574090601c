// Package follow is an edge's line to the planner: it takes plans from a stream and sends the edge's counts.
// While the planner is away the last plan stays, and the edge goes on by itself.
package planclient

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"sandcourse/internal/endpoint"
	"sandcourse/internal/planner/planapi"
)

// Client is a roster.Source that follows the planner at Addr.
type Client struct {
	Addr           string
	Report         func(ctx context.Context) (planapi.EdgeReport, error) // the edge's counts; nil to send none
	ReportInterval time.Duration                                         // between two reports; 0 for a second
	IdleTimeout    time.Duration                                         // a stream that says nothing for longer is given up; 0 for 5 s
	Now            func() int64                                          // the node's clock in Unix milliseconds; nil for the machine's
}

// followedPlan is the newest plan taken, over all streams.
type followedPlan struct {
	mu         sync.Mutex
	plan       planapi.Plan
	startTimes startTimes // used by the one stream alone
}

// Run is roster.Source's.
func (c Client) Run(ctx context.Context, take func(endpoint.List), fault func(error)) {
	reportInterval, idleTimeout := c.ReportInterval, c.IdleTimeout
	if reportInterval <= 0 {
		reportInterval = time.Second
	}
	if idleTimeout <= 0 {
		idleTimeout = 5 * time.Second
	}
	if c.Now == nil {
		c.Now = func() int64 { return time.Now().UnixMilli() }
	}
	followed := &followedPlan{startTimes: startTimes{}}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	defer client.CloseIdleConnections()
	var tasks sync.WaitGroup
	defer tasks.Wait()
	if c.Report != nil {
		tasks.Go(func() { c.sendReports(ctx, client, reportInterval, followed) })
	}
	lastFault := ""
	for ctx.Err() == nil {
		err := c.follow(ctx, client, idleTimeout, followed, take)
		if ctx.Err() != nil {
			return
		}
		if err.Error() != lastFault {
			lastFault = err.Error()
			fault(fmt.Errorf("planner %s: %w; the plan before stays", c.Addr, err))
		}
		// All edges lose a planner together, so they come back spread over a second.
		select {
		case <-ctx.Done():
		case <-time.After(100*time.Millisecond + time.Duration(rand.Int64N(int64(900*time.Millisecond)))):
		}
	}
}

// follow follows one connection until it ends.
func (c Client) follow(ctx context.Context, client *http.Client, idleTimeout time.Duration, followed *followedPlan,
	take func(endpoint.List)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idle := time.AfterFunc(idleTimeout, cancel)
	defer idle.Stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Addr+planapi.StreamPath, nil)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("it answers %s", response.Status)
	}
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(make([]byte, 0, 64<<10), planapi.MaxPlanBytes+1)
	for lines.Scan() {
		idle.Reset(idleTimeout)
		if len(bytes.TrimSpace(lines.Bytes())) == 0 {
			continue // it is there, and nothing has changed
		}
		plan, err := planapi.ParsePlan(lines.Bytes())
		if err != nil {
			return err // a line cut short, too: the whole plan comes again with the next stream
		}
		followed.mu.Lock()
		newer := plan.Newer(followed.plan)
		older := followed.plan.Newer(plan)
		if newer {
			followed.plan = plan
		}
		followed.mu.Unlock()
		if older {
			return fmt.Errorf("it speaks of term %d number %d, older than what was followed", plan.Term,
				plan.Number)
		}
		if newer {
			list := plan.EndpointList(c.Now())
			followed.startTimes.stabilize(&list)
			take(list)
		}
	}
	if err := lines.Err(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return errors.New("the stream ended")
}

func (c Client) sendReports(ctx context.Context, client *http.Client, interval time.Duration, followed *followedPlan) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		report, err := c.Report(ctx)
		if err != nil {
			return
		}
		followed.mu.Lock()
		report.Term, report.PlanNumber = followed.plan.Term, followed.plan.Number
		followed.mu.Unlock()
		data, err := json.Marshal(report)
		if err != nil {
			continue
		}
		attemptContext, cancel := context.WithTimeout(ctx, interval)
		request, err := http.NewRequestWithContext(attemptContext, http.MethodPost, "http://"+c.Addr+planapi.ReportPath,
			bytes.NewReader(data))
		if err == nil {
			if response, err := client.Do(request); err == nil {
				io.Copy(io.Discard, io.LimitReader(response.Body, 4096))
				response.Body.Close()
			}
		}
		cancel()
	}
}
