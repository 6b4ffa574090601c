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
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// 300 edges follow one planner of 300 engines, all in one process on loopback: how long a plan takes to reach them, and how
// long a planner that was restarted needs until all follow it again.
func BenchmarkPlanTo300Edges(b *testing.B) {
	const engines, edges = 300, 300
	list := endpoint.List{Revision: 1}
	for i := range engines {
		m := engine.Config{Name: fmt.Sprint("e", i), Role: "read"}
		kind := "prefill"
		if i >= engines/2 {
			m.Role, kind = "write", "decode"
		}
		e, err := engine.Start(m, nil, nil)
		if err != nil {
			b.Fatal(err)
		}
		defer e.Stop()
		list.Entries = append(list.Entries, endpoint.Entry{ID: e.Addr(), Kind: kind, Weight: 1,
			State: endpoint.Ready})
	}
	dir := b.TempDir()
	settings := testSettings(filepath.Join(dir, "p.db"), filepath.Join(dir, "roster.json"))
	endpoint.WriteFile(settings.EndpointFile, list)
	p := New(settings, zap.NewNop())
	if err := p.Start(); err != nil {
		b.Fatal(err)
	}
	settings.Listen = p.Addr()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var mu sync.Mutex
	got := make([]int64, edges) // revision each follows
	at := make([]time.Time, edges)
	for i := range edges {
		go planclient.Client{Addr: p.Addr(), Report: func(context.Context) (planapi.EdgeReport, error) {
			return planapi.EdgeReport{Edge: fmt.Sprint("edge", i), Incarnation: 1,
				Routes: []planapi.RouteCount{{Route: "a"}, {Route: "b"}}}, nil
		}}.Run(ctx, func(l endpoint.List) {
			mu.Lock()
			got[i], at[i] = l.Revision, time.Now()
			mu.Unlock()
		}, func(error) {})
	}
	all := func(over int64) bool {
		mu.Lock()
		defer mu.Unlock()
		return !slices.ContainsFunc(got, func(r int64) bool { return r <= over })
	}
	wait := func(over int64) {
		for end := time.Now().Add(20 * time.Second); !all(over); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				b.Fatal("some edges do not hear of the plan")
			}
		}
	}
	wait(0)
	time.Sleep(2 * time.Second)
	// At rest: reports of all engines and edges, nothing changes.
	before, rest := processCPUTime(), time.Now()
	time.Sleep(5 * time.Second)
	busy := float64(processCPUTime()-before) / float64(time.Since(rest)) * 100
	var took []time.Duration
	b.ResetTimer()
	for n := range b.N {
		mu.Lock()
		last := slices.Max(got)
		mu.Unlock()
		list.Entries[n%engines].Weight += 0.01
		begun := time.Now()
		p.enqueue(func() { p.step(assignment.EnginesListed{Engines: p.listedEngines(list)}) })
		wait(last)
		mu.Lock()
		for _, t := range at {
			took = append(took, t.Sub(begun))
		}
		mu.Unlock()
	}
	b.StopTimer()
	slices.Sort(took)
	b.ReportMetric(busy, "cpu%-all-at-rest")
	b.ReportMetric(float64(took[len(took)/2].Microseconds())/1000, "ms-p50")
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds())/1000, "ms-p99")
	mu.Lock()
	last := slices.Max(got)
	mu.Unlock()
	p.Stop()
	begun := time.Now()
	p = New(settings, zap.NewNop())
	if err := p.Start(); err != nil {
		b.Fatal(err)
	}
	wait(last)
	b.ReportMetric(float64(time.Since(begun).Milliseconds()), "ms-until-all-follow-again")
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	b.ReportMetric(float64(m.HeapAlloc)/1e6, "MB-all")
	cancel()
	p.Stop()
}
