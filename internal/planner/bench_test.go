package planner

import (
	"context"
	"fmt"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"sandcourse/internal/endpoint"
	"sandcourse/internal/fake/engine"
	"sandcourse/internal/planner/assignment"
	"sandcourse/internal/planner/planapi"
	"sandcourse/internal/planner/planclient"
)

func processCPUTime() time.Duration {
	var usage syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// followers is a set of edges that follow a planner, with the latest revision of each edge and the time of its receipt.
type followers struct {
	mu         sync.Mutex
	revisions  []int64
	receivedAt []time.Time
}

// startFollowers starts edges that follow the planner at an address until the context ends.
func startFollowers(ctx context.Context, address string, edges int) *followers {
	f := &followers{revisions: make([]int64, edges), receivedAt: make([]time.Time, edges)}
	for i := range edges {
		report := planapi.EdgeReport{Edge: fmt.Sprint("edge", i), Incarnation: 1,
			Routes: []planapi.RouteCount{{Route: "a"}, {Route: "b"}}}
		client := planclient.Client{Addr: address,
			Report: func(context.Context) (planapi.EdgeReport, error) { return report, nil }}
		go client.Run(ctx, func(list endpoint.List) {
			f.mu.Lock()
			f.revisions[i], f.receivedAt[i] = list.Revision, time.Now()
			f.mu.Unlock()
		}, func(error) {})
	}
	return f
}

// newest returns the newest revision that an edge has received.
func (f *followers) newest() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Max(f.revisions)
}

// awaitNewer waits until all edges have received a newer revision, and returns the times of receipt.
func (f *followers) awaitNewer(b *testing.B, revision int64) []time.Time {
	b.Helper()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		f.mu.Lock()
		oldest, receivedAt := slices.Min(f.revisions), slices.Clone(f.receivedAt)
		f.mu.Unlock()
		if oldest > revision {
			return receivedAt
		}
		if time.Now().After(end) {
			b.Fatal("not all edges received the plan within 20 s")
		}
	}
}

// The benchmark measures how long a plan takes from a planner of 300 engines to 300 edges, and how long it takes after a
// restart of the planner until all edges follow it again. All of them run in one process and use the loopback interface.
func BenchmarkPlanTo300Edges(b *testing.B) {
	const engines, edges = 300, 300
	_, list := startEngines(b, engines/2, engines/2, engine.Config{})
	directory := b.TempDir()
	settings := testSettings(filepath.Join(directory, "p.db"), filepath.Join(directory, "roster.json"))
	endpoint.WriteFile(settings.EndpointFile, list)
	p := New(settings, zap.NewNop())
	if err := p.Start(); err != nil {
		b.Fatal(err)
	}
	settings.Listen = p.Addr()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	followers := startFollowers(ctx, p.Addr(), edges)
	followers.awaitNewer(b, 0)
	reportCPUAtRest(b)
	var delays []time.Duration
	b.ResetTimer()
	for n := range b.N {
		last := followers.newest()
		list.Entries[n%engines].Weight += 0.01
		start := time.Now()
		p.enqueue(func() { p.step(assignment.EnginesListed{Engines: p.listedEngines(list)}) })
		for _, receivedAt := range followers.awaitNewer(b, last) {
			delays = append(delays, receivedAt.Sub(start))
		}
	}
	b.StopTimer()
	slices.Sort(delays)
	b.ReportMetric(float64(delays[len(delays)/2].Microseconds())/1000, "ms-p50")
	b.ReportMetric(float64(delays[len(delays)*99/100].Microseconds())/1000, "ms-p99")
	last := followers.newest()
	p.Stop()
	start := time.Now()
	p = New(settings, zap.NewNop())
	if err := p.Start(); err != nil {
		b.Fatal(err)
	}
	followers.awaitNewer(b, last)
	b.ReportMetric(float64(time.Since(start).Milliseconds()), "ms-until-all-follow-again")
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	b.ReportMetric(float64(memory.HeapAlloc)/1e6, "MB-all")
	cancel()
	p.Stop()
}

// reportCPUAtRest reports the CPU usage while engines and edges send reports and the plan does not change.
func reportCPUAtRest(b *testing.B) {
	time.Sleep(2 * time.Second)
	before, start := processCPUTime(), time.Now()
	time.Sleep(5 * time.Second)
	b.ReportMetric(float64(processCPUTime()-before)/float64(time.Since(start))*100, "cpu%-all-at-rest")
}
