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

// Planner is a roster.Source that follows the planner at Addr.
type Planner struct {
	Addr   string
	Report func(ctx context.Context) (planapi.EdgeReport, error) // the edge's counts; nil to send none
	Every  time.Duration                                         // between two reports; 0 for a second
	Quiet  time.Duration                                         // a stream that says nothing for longer is given up; 0 for 5 s
	Now    func() int64                                          // the node's clock in Unix milliseconds; nil for the machine's
}

// last is the newest plan taken, over all streams.
type last struct {
	mu     sync.Mutex
	plan   planapi.Plan
	starts starts // used by the one stream alone
}

// Run is roster.Source's.
func (p Planner) Run(ctx context.Context, take func(endpoint.List), fault func(error)) {
	every, quiet := p.Every, p.Quiet
	if every <= 0 {
		every = time.Second
	}
	if quiet <= 0 {
		quiet = 5 * time.Second
	}
	if p.Now == nil {
		p.Now = func() int64 { return time.Now().UnixMilli() }
	}
	l := &last{starts: starts{}}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	defer client.CloseIdleConnections()
	var all sync.WaitGroup
	defer all.Wait()
	if p.Report != nil {
		all.Go(func() { p.reports(ctx, client, every, l) })
	}
	said := ""
	for ctx.Err() == nil {
		err := p.stream(ctx, client, quiet, l, take)
		if ctx.Err() != nil {
			return
		}
		if err.Error() != said {
			said = err.Error()
			fault(fmt.Errorf("planner %s: %w; the plan before stays", p.Addr, err))
		}
		// All edges lose a planner together, so they come back spread over a second.
		select {
		case <-ctx.Done():
		case <-time.After(100*time.Millisecond + time.Duration(rand.Int64N(int64(900*time.Millisecond)))):
		}
	}
}

// stream follows one connection until it ends.
func (p Planner) stream(ctx context.Context, client *http.Client, quiet time.Duration, l *last,
	take func(endpoint.List)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(quiet, cancel)
	defer silence.Stop()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Addr+planapi.StreamPath, nil)
	if err != nil {
		return err
	}
	answer, err := client.Do(r)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("it answers %s", answer.Status)
	}
	lines := bufio.NewScanner(answer.Body)
	lines.Buffer(make([]byte, 0, 64<<10), planapi.MaxPlan+1)
	for lines.Scan() {
		silence.Reset(quiet)
		if len(bytes.TrimSpace(lines.Bytes())) == 0 {
			continue // it is there, and nothing has changed
		}
		plan, err := planapi.ReadPlan(lines.Bytes())
		if err != nil {
			return err // a line cut short, too: the whole plan comes again with the next stream
		}
		l.mu.Lock()
		newer := plan.Newer(l.plan)
		older := l.plan.Newer(plan)
		if newer {
			l.plan = plan
		}
		l.mu.Unlock()
		if older {
			return fmt.Errorf("it speaks of term %d number %d, older than what was followed", plan.Term,
				plan.Number)
		}
		if newer {
			list := plan.List(p.Now())
			l.starts.settle(&list)
			take(list)
		}
	}
	if err := lines.Err(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return errors.New("the stream ended")
}

func (p Planner) reports(ctx context.Context, client *http.Client, every time.Duration, l *last) {
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		report, err := p.Report(ctx)
		if err != nil {
			return
		}
		l.mu.Lock()
		report.Term, report.Plan = l.plan.Term, l.plan.Number
		l.mu.Unlock()
		data, err := json.Marshal(report)
		if err != nil {
			continue
		}
		once, cancel := context.WithTimeout(ctx, every)
		r, err := http.NewRequestWithContext(once, http.MethodPost, "http://"+p.Addr+planapi.ReportPath,
			bytes.NewReader(data))
		if err == nil {
			if answer, err := client.Do(r); err == nil {
				io.Copy(io.Discard, io.LimitReader(answer.Body, 4096))
				answer.Body.Close()
			}
		}
		cancel()
	}
}
