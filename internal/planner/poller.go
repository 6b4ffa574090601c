package planner

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"sandcourse/internal/planner/assignment"
	"sandcourse/internal/planner/planapi"
	"sandcourse/internal/protocol/engineapi"
)

// Limits and intervals of polling.
const (
	pollWorkers          = 16
	pollInterval         = time.Second
	changingPollInterval = 100 * time.Millisecond // interval for engines that are changing roles
	ticksPerPollInterval = int(pollInterval / changingPollInterval)
)

// StatusError reports that an engine responded with a status other than 200.
type StatusError struct{ Status string }

// Error returns the status.
func (e *StatusError) Error() string { return e.Status }

// poller polls all engines for their load reports. It polls engines that are changing roles more often.
type poller struct {
	client       *http.Client
	now          func() int64
	deliverEvent func(assignment.Event)

	mu       sync.Mutex
	engines  []string
	changing []string
}

// setTargets sets the engines to poll, and those of them that are polled at the shorter interval.
func (p *poller) setTargets(engines, changing []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.engines, p.changing = engines, changing
}

// run polls until the context ends.
func (p *poller) run(ctx context.Context) {
	engines := make(chan string)
	var workers sync.WaitGroup
	for range pollWorkers {
		workers.Go(func() { p.pollEngines(ctx, engines) })
	}
	defer workers.Wait()
	defer close(engines)
	tick := time.NewTicker(changingPollInterval)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, engine := range p.dueEngines(n) {
			select {
			case engines <- engine:
			case <-ctx.Done():
				return
			}
		}
	}
}

// dueEngines returns the engines to poll at a tick: all that are changing roles and, to spread the load, a tenth of the others.
func (p *poller) dueEngines(tick int) []string {
	p.mu.Lock()
	engines, changing := p.engines, p.changing
	p.mu.Unlock()
	due := slices.Clone(changing)
	for i := tick % ticksPerPollInterval; i < len(engines); i += ticksPerPollInterval {
		if !slices.Contains(changing, engines[i]) {
			due = append(due, engines[i])
		}
	}
	return due
}

// pollEngines polls engines and delivers their reports. A failed poll is not delivered: the controller detects engines whose
// last report is old.
func (p *poller) pollEngines(ctx context.Context, engines <-chan string) {
	for engine := range engines {
		requestedAt := p.now()
		if report, err := p.poll(ctx, engine); err == nil {
			p.deliverEvent(assignment.EngineReported{RequestedAt: requestedAt, Report: report})
		}
	}
}

// poll requests one engine's report.
func (p *poller) poll(ctx context.Context, engine string) (planapi.EngineReport, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+engine+engineapi.LoadPath, nil)
	if err != nil {
		return planapi.EngineReport{}, err
	}
	response, err := p.client.Do(request)
	if err != nil {
		return planapi.EngineReport{}, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, planapi.MaxReportBytes+1))
	if err != nil {
		return planapi.EngineReport{}, err
	}
	if response.StatusCode != http.StatusOK {
		return planapi.EngineReport{}, &StatusError{Status: response.Status}
	}
	report, err := planapi.ParseEngineReport(data)
	report.Engine = engine
	return report, err
}
