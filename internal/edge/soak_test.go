package edge_test

import (
	"context"
	"os"
	"runtime"
	"testing"
	"time"

	"sandcourse/internal/fake/engine"
	"sandcourse/internal/loadgen"
)

// TestSoak runs only if SANDCOURSE_SOAK gives a duration, because it takes too long for CI.
func TestSoak(t *testing.T) {
	length, err := time.ParseDuration(os.Getenv("SANDCOURSE_SOAK"))
	if err != nil {
		t.Skip("SANDCOURSE_SOAK gives no duration")
	}
	soak(t, length)
}

// soak runs a steady load with intermittent faults, logs memory and descriptors, and checks that everything is released.
func soak(t *testing.T, length time.Duration) {
	f := newFixture(t, nil)
	descriptors := func() int {
		entries, err := os.ReadDir("/proc/self/fd")
		if err != nil {
			t.Fatal(err)
		}
		return len(entries)
	}
	heap := func() float64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapInuse) / (1 << 20)
	}
	burst := func(length time.Duration, seed uint64) {
		loadgen.Traffic{Edges: f.edges.Addrs, Rate: 80, Duration: length, Seed: seed, Prefixes: 5, PrefixWords: 100, Turns: 3, DisconnectShare: 0.05,
			Retries: 1, Log: f.log, Routes: []loadgen.Route{{Name: "clip-summary", Share: 3, PriorityWeight: 1, Retriable: true,
				FirstTokenTarget: time.Second, Timeout: 3 * time.Second, MaxTokens: 20},
				{Name: "fan-alert", Share: 1, PriorityWeight: 5, FirstTokenTarget: time.Second, Timeout: 3 * time.Second, MaxTokens: 20}}}.Run(context.Background())
	}
	burst(5*time.Second, 1)
	t.Logf("after 5 s: heap %.1f MiB, %d descriptors, %d goroutines, %d calls", heap(), descriptors(),
		runtime.NumGoroutine(), len(f.log.ClientRecords()))
	end := time.Now().Add(length)
	for i := uint64(2); time.Now().Before(end); i++ {
		f.fleet.Engines[i%4].SetFaults([]engine.Faults{{Slowdown: 5}, {Unresponsive: true}, {BreakAfter: 3}, {EmptyLoadReport: true}}[i%4])
		burst(min(5*time.Second, time.Until(end)), i)
		f.fleet.Engines[i%4].SetFaults(engine.Faults{})
		if i%12 == 0 {
			t.Logf("heap %.1f MiB, %d descriptors, %d goroutines, %d calls", heap(), descriptors(),
				runtime.NumGoroutine(), len(f.log.ClientRecords()))
		}
	}
	f.checkInvariants()
	// Idle connections are closed within 15 s; after that the edge must hold no connections, requests or bytes.
	time.Sleep(20 * time.Second)
	usage := f.edges.InFlight(context.Background())
	t.Logf("idle: heap %.1f MiB, %d descriptors, %d goroutines; in flight at the edge: %+v; %d engine records", heap(), descriptors(),
		runtime.NumGoroutine(), usage, len(f.log.EngineRecords()))
	if usage.Clients+usage.Requests+usage.EngineConnections+usage.Bytes+usage.ControlRequests > 0 {
		t.Error("idle edge still holds connections, requests or bytes")
	}
}
