package assignment

import (
	"fmt"
	"math"
	"testing"
	"time"

	"sandcourse/internal/planner/planapi"
)

// reportArrivals reports so many arrivals per second at each edge for some seconds, and returns the clock.
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

func near(a, b float64) bool { return math.Abs(a-b) < 1e-6 }

// The arrivals of an edge count for at most four times those of the median edge.
func TestOneEdgeDoesNotOutweighTheOthers(t *testing.T) {
	c := newTestController(listEngines(4))
	reportArrivals(c, testStart, []float64{1, 2, 1000}, 8)
	if rate := demandRate(t, c); !near(rate, 1+2+4*2) {
		t.Errorf("demand of %v requests per second", rate)
	}
}

// An edge that is known and does not report counts like the others, until it is forgotten.
func TestEdgeThatDoesNotReportCountsAsAverage(t *testing.T) {
	c := newTestController(listEngines(4))
	now := reportArrivals(c, testStart, []float64{3, 3}, 8)
	for _, step := range []struct {
		silent time.Duration
		want   float64
	}{{10 * time.Second, 6}, {2 * time.Minute, 3}} {
		now = reportArrivals(c, now+int64(step.silent), []float64{3}, 12)
		if rate := demandRate(t, c); !near(rate, step.want) {
			t.Errorf("after %v: demand of %v requests per second", step.silent, rate)
		}
	}
}

// Counts that go down, and those of another incarnation, are no arrivals.
func TestCountsStartAfreshWithAnIncarnation(t *testing.T) {
	c := newTestController(listEngines(4))
	now := reportArrivals(c, testStart, []float64{5}, 8)
	for _, report := range []planapi.EdgeReport{
		{Edge: "edge0", Incarnation: 2, Routes: []planapi.RouteCount{{Route: "a", Arrived: 1e6}}},
		{Edge: "edge0", Incarnation: 2, Routes: []planapi.RouteCount{{Route: "a", Arrived: 10}}},
	} {
		now += int64(time.Second)
		c.Step(now, EdgeReported{report})
	}
	// Seven seconds with arrivals, and one of which no count can be taken.
	if rate := demandRate(t, c); !near(rate, 5.*7/8) {
		t.Errorf("demand of %v requests per second", rate)
	}
}

// The throughput of an engine is its second best sample, so that one wrong report does not count.
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
		t.Error("a throughput of a role that the engine never had")
	}
}

// A skew is expected to last as long as earlier ones that had lasted as long, and as long again without those.
func TestSkewForecast(t *testing.T) {
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
	lasting := skew.expectedRemaining(now, planapi.Prefill, 5)
	if skew.role != planapi.Prefill || lasting != 39 {
		t.Errorf("skewed to %q, %v s to go", skew.role, lasting)
	}
	observe(30, perRole{1, 3})
	observe(10, perRole{3, 1})
	if lasting := skew.expectedRemaining(now, planapi.Prefill, 5); lasting != 40-9 {
		t.Errorf("%v s to go", lasting)
	}
	if lasting := skew.expectedRemaining(now, planapi.Decode, 5); lasting != 5 {
		t.Errorf("%v s to go for the other role", lasting)
	}
}
