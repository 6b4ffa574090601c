package routing

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The functions below recompute by full scans the data that the policy keeps in indexes, and compare the results.

// checkIndexes compares all indexes of a policy with a scan.
func checkIndexes(t *rapid.T, p *Policy) {
	t.Helper()
	checkRequests(t, p)
	checkEngineLists(t, p)
	checkCacheIndexes(t, p)
	for _, e := range p.sortedEngines {
		checkEngine(t, p, e)
	}
	request := &request{}
	for name, group := range map[string]*engineGroup{"prefill": &p.prefillEngines, "decode": &p.decodeEngines} {
		if got, want := p.usableEngines(request, group, everyEngine), scanUsable(p, request, group.engines); !slices.Equal(got, want) {
			t.Fatalf("usable engines for %s: %v, by a scan %v", name, engineIDs(got), engineIDs(want))
		}
	}
}

func checkRequests(t *rapid.T, p *Policy) {
	t.Helper()
	reservedRequests, awaiting := map[int64]*request{}, map[int64]*request{}
	for id, req := range p.requests {
		if req.state == reserved {
			reservedRequests[id] = req
		}
		if len(req.awaitedEngines) > 0 {
			awaiting[id] = req
		}
	}
	if !maps.Equal(p.reserved, reservedRequests) || !maps.Equal(p.awaiting, awaiting) {
		t.Fatalf("reserved %v, awaiting %v, by a scan %v and %v", p.reserved, p.awaiting, reservedRequests, awaiting)
	}
}

func engineIDs(engines []*engine) (ids []string) {
	for _, e := range engines {
		ids = append(ids, e.Engine)
	}
	return ids
}

func checkEngineLists(t *rapid.T, p *Policy) {
	t.Helper()
	ids := slices.Sorted(maps.Keys(p.engines))
	if !slices.Equal(engineIDs(p.sortedEngines), ids) {
		t.Fatalf("sorted engines %v, known engines %v", engineIDs(p.sortedEngines), ids)
	}
	var prefill, decode []*engine
	for _, id := range ids {
		if e := p.engines[id]; e.Ready && e.canPrefill {
			prefill = append(prefill, e)
		}
		if e := p.engines[id]; e.Ready && e.canDecode {
			decode = append(decode, e)
		}
	}
	if !slices.Equal(p.prefillEngines.engines, prefill) || !slices.Equal(p.decodeEngines.engines, decode) {
		t.Fatalf("by role %v and %v, by a scan %v and %v", engineIDs(p.prefillEngines.engines), engineIDs(p.decodeEngines.engines), engineIDs(prefill), engineIDs(decode))
	}
}

func checkCacheIndexes(t *rapid.T, p *Policy) {
	t.Helper()
	entries, keys := 0, 0
	for key, cached := range p.cache.entriesByKey {
		entries += len(cached)
		if !slices.IsSortedFunc(cached, func(a, b cacheEntry) int { return cmp.Compare(a.engine, b.engine) }) {
			t.Fatalf("entries of %v are not in the order of engines: %v", key, cached)
		}
		for _, entry := range cached {
			if !slices.Contains(p.cache.keysByEngine[entry.engine], key) {
				t.Fatalf("key %v of %s is not in the index", key, entry.engine)
			}
		}
	}
	for _, cached := range p.cache.keysByEngine {
		keys += len(cached)
	}
	if entries != p.cache.count || keys != p.cache.count {
		t.Fatalf("%d entries, %d in the index, %d counted", entries, keys, p.cache.count)
	}
}

func checkEngine(t *rapid.T, p *Policy, e *engine) {
	t.Helper()
	load, unreported := scanLoad(p, e)
	got := p.loadOf(e)
	slices.Sort(got.waits)
	slices.Sort(load.waits)
	if !reflect.DeepEqual(got, load) || e.unreportedTokens() != unreported {
		t.Fatalf("load of %s: %v and %v unreported, by a scan %v and %v", e.Engine, got, e.unreportedTokens(), load, unreported)
	}
	latency, known := p.latency(e, load)
	if p.isIdle(e) && (known || latency != 0 || e.suspect || len(e.open.all) > 0 || e.fullUntil > p.now || scanCount(p, e.faultTimes, faultWindow) > 0) {
		t.Fatalf("%s counts as idle: %+v, latency %v %v", e.Engine, e, latency, known)
	}
	if got, want := p.throughputOfRole(e), scanThroughput(p, e); got != want {
		t.Fatalf("throughput of the role of %s: %v, by a scan %v", e.Engine, got, want)
	}
}

// scanLoad computes the load of an engine from the attempts of all requests.
func scanLoad(p *Policy, e *engine) (load engineLoad, unreported float64) {
	for _, req := range p.requests {
		for i := range req.attempts {
			if a := &req.attempts[i]; a.inFlight && a.engine == e.Engine {
				addLoad(&load, a, req.PromptTokens, p.now)
				if a.decode && a.sentAt > e.reportedAt-reportDelay {
					unreported += req.PromptTokens
				}
			}
		}
	}
	return load, unreported
}

// addLoad adds one attempt in flight to a load.
func addLoad(l *engineLoad, a *attempt, promptTokens float64, now time.Duration) {
	if a.decode {
		l.streams++
		l.promptTokens += promptTokens
	} else {
		l.prefills++
	}
	if !a.streaming {
		l.waits = append(l.waits, now-a.sentAt)
	}
}

func scanCount(p *Policy, times []time.Duration, span time.Duration) (n float64) {
	for _, at := range times {
		if p.now-at < span {
			n++
		}
	}
	return n
}

func scanThroughput(p *Policy, e *engine) (throughput roleThroughput) {
	for _, other := range p.engines {
		recent := scanCount(p, other.progressTimes, throughputWindow)
		if other.canPrefill == e.canPrefill && other.canDecode == e.canDecode && (other.Ready || recent > 0) {
			throughput.completed, throughput.engines = throughput.completed+recent, throughput.engines+1
		}
	}
	return throughput
}

// scanUsable computes the usable engines from a full check of each engine.
func scanUsable(p *Policy, req *request, engines []*engine) []*engine {
	fitting, healthy := []*engine{}, []*engine{}
	latencies, faults := []time.Duration{}, []int64{}
	for _, e := range engines {
		if !e.Ready || !p.withinSlowStartBudget(e) {
			continue
		}
		fitting, faults = append(fitting, e), append(faults, int64(scanCount(p, e.faultTimes, faultWindow)))
		load, _ := scanLoad(p, e)
		if latency, known := p.latency(e, load); known {
			latencies = append(latencies, latency)
		}
	}
	slices.Sort(latencies)
	medianLatency, medianFaults := median(latencies[:max(0, len(latencies)-1)]), float64(median(faults))
	for _, e := range fitting {
		if load, _ := scanLoad(p, e); p.isHealthy(req, e, load, medianLatency, medianFaults) {
			healthy = append(healthy, e)
		}
	}
	if len(healthy) > 0 {
		return healthy
	}
	return leastUnhealthy(req, fitting)
}

func TestFirstByHashAgreesWithASort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := rapid.StringN(0, 8, -1).Draw(t, "key")
		engines := make([]*engine, rapid.IntRange(1, 200).Draw(t, "engines"))
		for i := range engines {
			engines[i] = &engine{Endpoint: Endpoint{Engine: fmt.Sprint("s", rapid.IntRange(0, 1000).Draw(t, "id"))}}
		}
		count := rapid.IntRange(0, 220).Draw(t, "count")
		got := firstByHash(key, engines, count)
		sorted := slices.SortedFunc(slices.Values(engines), func(x, y *engine) int {
			return cmp.Compare(referenceHash(key+x.Engine), referenceHash(key+y.Engine))
		})
		if want := sorted[:min(count, len(sorted))]; !slices.Equal(engineIDs(got), engineIDs(want)) {
			t.Fatalf("first %d of %v: %v, want %v", count, engineIDs(engines), engineIDs(got), engineIDs(want))
		}
	})
}

// referenceHash computes the hash with the standard library.
func referenceHash(text string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(text))
	x := h.Sum64()
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	return x ^ x>>33
}

func TestRandomNumbersAgreeWithTheTextHash(t *testing.T) {
	source := newRandomSource(42)
	for draw := uint64(1); draw <= 1000; draw++ {
		if draw%10 == 0 {
			source.skip(1)
			continue
		}
		want := float64(referenceHash(fmt.Sprint(uint64(42), draw))>>11) / (1 << 53)
		if got := source.next(); got != want {
			t.Fatalf("number %d is %v, want %v", draw, got, want)
		}
	}
}

func TestMedianWithZerosAgreesWithASort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		values := rapid.SliceOfN(rapid.Int64Range(1, 9), 0, 12).Draw(t, "values")
		zeros := rapid.IntRange(0, 12).Draw(t, "zeros")
		want := median(append(make([]int64, zeros), values...))
		if got := medianWithZeros(slices.Clone(values), zeros); got != want {
			t.Fatalf("median of %v and %d zeros is %d, want %d", values, zeros, got, want)
		}
	})
}

// The test guards against a cost per request that is quadratic in the number of engines in slow start: for each of them the
// throughput of all engines was counted.
func TestThroughputOfAWarmingUpFleetIsCountedOncePerResponse(t *testing.T) {
	for _, engines := range []int{100, 3200} {
		n := newFleetNode(t, engines, 0.5)
		before := n.policy.throughput.version
		const requests = 50
		for range requests {
			n.serve()
		}
		// A request has two responses. Each invalidates the count, and may do so once more when it is 20 s old.
		if counted := n.policy.throughput.version - before; counted > 4*requests {
			t.Errorf("%d engines: all were counted %d times for %d requests", engines, counted, requests)
		}
	}
}
