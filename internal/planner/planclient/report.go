package planclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"sandcourse/internal/planner/planapi"
)

// sendReports sends the edge's reports until the context ends or Report fails.
func (c Client) sendReports(ctx context.Context, httpClient *http.Client, followed *followedPlan) {
	tick := time.NewTicker(c.ReportInterval)
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
		report.Term, report.PlanNumber = followed.current()
		c.sendReport(ctx, httpClient, report)
	}
}

// sendReport sends one report. A lost report is not sent again: counts are cumulative, so the next report includes it.
func (c Client) sendReport(ctx context.Context, httpClient *http.Client, report planapi.EdgeReport) {
	data, err := json.Marshal(report)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.ReportInterval)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Addr+planapi.ReportPath, bytes.NewReader(data))
	if err != nil {
		return
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	// The body is read only so that the connection can be reused, so errors are ignored.
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxDiscardedBody))
}
