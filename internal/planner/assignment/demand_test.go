package assignment

import (
	"fmt"
	"math"
	"testing"
	"time"

	"sandcourse/internal/planner/planapi"
)

// reportArrivals reports arrivals at the given rate of each edge for some seconds, and returns the time of the last report.
func reportArrivals(c *Controller, now int64, perSecond []float64, seconds int) int64 {
	for second := range seconds {
		for i, rate := range perSecond {
			c.Step(now, EdgeReported{planapi.EdgeReport{Edge: fmt.Sprint("edge", i), Incarnation: 1,
				Routes: []planapi.RouteCount{{Route: "a", Arrived: rate * float64(second)}}}})
		}
		now += int64(time.Second)
	}
	return now - int64(time.Second)
}

func demandRate(t *testing.T, c *Controller) float64 {
	t.Helper()
	mix, _, _ := c.estimateDemand()
	if len(mix) != 1 {
		t.Fatalf("demand on %d routes", len(mix))
	}
	return mix[0].Rate
}

func almostEqual(a, b float64) bool { return math.Abs(a-b) < 1e-6 }

// A wrong report of one edge must not dominate the demand: each edge counts for at most four times the median edge.
func TestOneEdgeDoesNotOutweighTheOthers(t *testing.T) {
	c := newTestController(listEngines(4))
	reportArrivals(c, testStart, []float64{1, 2, 1000}, 8)
	if rate := demandRate(t, c); !almostEqual(rate, 1+2+4*2) {
		t.Errorf("demand of %v requests per second", rate)
	}
}

// A known edge that does not report must count like the average of the others until it is forgotten.
func TestEdgeThatDoesNotReportCountsAsAverage(t *testing.T) {
	c := newTestController(listEngines(4))
	now := reportArrivals(c, testStart, []float64{3, 3}, 8)
	for _, step := range []struct {
		silence time.Duration
		want    float64
	}{{10 * time.Second, 6}, {2 * time.Minute, 3}} {
		now = reportArrivals(c, now+int64(step.silence), []float64{3}, 12)
		if rate := demandRate(t, c); !almostEqual(rate, step.want) {
			t.Errorf("after %v without reports: demand of %v requests per second", step.silence, rate)
		}
	}
}

// Counts that decrease, and counts of another incarnation, must not be counted as arrivals.
func TestCountsRestartWithIncarnation(t *testing.T) {
	c := newTestController(listEngines(4))
	now := reportArrivals(c, testStart, []float64{5}, 8)
	for _, report := range []planapi.EdgeReport{
		{Edge: "edge0", Incarnation: 2, Routes: []planapi.RouteCount{{Route: "a", Arrived: 1e6}}},
		{Edge: "edge0", Incarnation: 2, Routes: []planapi.RouteCount{{Route: "a", Arrived: 10}}},
	} {
		now += int64(time.Second)
		c.Step(now, EdgeReported{report})
	}
	// The measured time is seven seconds with arrivals and one second without a usable count.
	if rate := demandRate(t, c); !almostEqual(rate, 5.*7/8) {
		t.Errorf("demand of %v requests per second", rate)
	}
}

// The throughput of an engine must be its second best sample, so that one wrong report has no effect.
func TestThroughputIsSecondBestSample(t *testing.T) {
	engine := &engineRecord{}
	for _, tokens := range []float64{100, 300, 9000, 200} {
		engine.samples = append(engine.samples, workSample{duration: time.Second, tokens: tokens, busySeconds: 0.5,
			prefill: true})
	}
	if throughput, known := engine.throughput(planapi.Prefill); !known || throughput != 600 {
		t.Errorf("throughput %v, known %v", throughput, known)
	}
	if _, known := engine.throughput(planapi.Decode); known {
		t.Error("throughput is known for a role in which the engine never served")
	}
}

// A skew must be expected to continue like earlier skews that lasted longer or, if no skew did, for as long as it has
// lasted so far.
func TestSkewForecastUsesLongerEarlierSkews(t *testing.T) {
	skew := skewTracker{durations: map[string][]time.Duration{}}
	now := int64(0)
	observe := func(seconds int, required perRole) {
		for range seconds {
			now += int64(time.Second)
			skew.observe(now, required)
		}
	}
	observe(1, perRole{1, 1})
	observe(40, perRole{3, 1})
	remaining := skew.expectedRemaining(now, planapi.Prefill, 5)
	if skew.role != planapi.Prefill || remaining != 39 {
		t.Errorf("skewed to %q, %v s remaining", skew.role, remaining)
	}
	observe(30, perRole{1, 3})
	observe(10, perRole{3, 1})
	if expected := skew.expectedRemaining(now, planapi.Prefill, 5); expected != 40-9 {
		t.Errorf("%v s remaining", expected)
	}
	if expected := skew.expectedRemaining(now, planapi.Decode, 5); expected != 5 {
		t.Errorf("%v s remaining for the other role", expected)
	}
}
