package scenario

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"sandcourse/internal/fake/engine"
)

// Fault is one trouble of a day, named and shaped as the bench's.
type Fault struct {
	Kind     string
	At       time.Duration
	Duration time.Duration
	Fraction float64 // of the engines of its role, or of the edges
	Size     float64 // times slower, times the rate, share of the traffic, seconds: by kind
	Role     string  // empty for both
	Selector int     // picks among engines beside the day's seed
}

// faultTarget is what a trouble strikes.
type faultTarget uint8

const (
	engines faultTarget = iota
	edges
	traffic
	list
)

// faultKinds says what each strikes, and the size that is meant where none is given.
var faultKinds = map[string]struct {
	on   faultTarget
	size float64
}{
	"crash": {engines, 0}, "vanish": {engines, 0}, "mass_restart": {engines, 0}, "slow": {engines, 5},
	"neighbour": {engines, 2}, "ageing": {engines, 4}, "pauses": {engines, 0.2}, "flush": {engines, 0},
	"handshake_slow": {engines, 0.1}, "stall_first": {engines, 0}, "stall": {engines, 1}, "break": {engines, 3},
	"half_answer": {engines, 0}, "lie": {engines, 0}, "fail": {engines, 500}, "drain": {engines, 0},
	"preempt": {engines, 1}, "burst": {traffic, 2}, "hot_key": {traffic, 0.2}, "discovery_stale": {list, 2},
	"balancer_crash": {edges, 0}, "balancer_roll": {edges, 0.2},
}

// FaultKinds lists the kinds of trouble by name.
func FaultKinds() []string { return slices.Sorted(maps.Keys(faultKinds)) }

// Step is one thing done to one engine or edge, or to the list, at a time into the day.
type Step struct {
	At       time.Duration
	Kind     string
	Engine   int // -1 for none
	Edge     int
	Size     float64
	Duration time.Duration
	Ends     bool // what a step with the same number began is over
}

// Plan lays out troubles as steps. The same troubles and seed give the same steps.
func Plan(troubles []Fault, count, readers, edgeCount int, seed uint64) []Step {
	var steps []Step
	for n, t := range troubles {
		rng := rand.New(rand.NewPCG(seed+uint64(t.Selector), uint64(n)))
		size := cmp.Or(t.Size, faultKinds[t.Kind].size)
		switch faultKinds[t.Kind].on {
		case traffic:
		case list:
			steps = append(steps, Step{At: t.At, Kind: t.Kind, Engine: -1, Edge: -1, Size: size},
				Step{At: t.At + t.Duration, Kind: t.Kind, Engine: -1, Edge: -1, Ends: true})
		case edges:
			for i, e := range pickTargets(rng, 0, edgeCount, t.Fraction) {
				at, down := t.At, t.Duration
				if t.Kind == "balancer_roll" {
					// One after the other over the whole length.
					at, down = t.At+time.Duration(i)*t.Duration/time.Duration(edgeCount), time.Duration(size*1e9)
				}
				steps = append(steps, Step{At: at, Kind: t.Kind, Engine: -1, Edge: e, Duration: down})
			}
		case engines:
			var struck []int
			if t.Role != "write" {
				struck = append(struck, pickTargets(rng, 0, readers, t.Fraction)...)
			}
			if t.Role != "read" {
				struck = append(struck, pickTargets(rng, readers, count, t.Fraction)...)
			}
			for _, e := range struck {
				steps = append(steps, faultSteps(t, e, size)...)
			}
		}
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return steps
}

func faultSteps(t Fault, e int, size float64) []Step {
	on := Step{At: t.At, Kind: t.Kind, Engine: e, Edge: -1, Size: size, Duration: t.Duration}
	off := on
	off.At, off.Ends = t.At+t.Duration, true
	switch t.Kind {
	case "flush":
		return []Step{on}
	case "pauses": // every second, for size seconds
		var list []Step
		for at := time.Duration(0); at < t.Duration; at += time.Second {
			begin, end := on, off
			begin.At, end.At = t.At+at, t.At+at+time.Duration(size*1e9)
			list = append(list, begin, end)
		}
		return list
	case "ageing": // in four steps up to its size
		var list []Step
		for i := range 4 {
			s := on
			s.At, s.Size = t.At+time.Duration(i)*t.Duration/4, 1+(size-1)*float64(i+1)/4
			list = append(list, s)
		}
		return append(list, off)
	}
	return []Step{on, off}
}

// pickTargets picks a part of the numbers from lo to hi, at least one if the part is not zero.
func pickTargets(rng *rand.Rand, lo, hi int, part float64) []int {
	n := int(part*float64(hi-lo) + 0.5)
	if part > 0 && hi > lo {
		n = max(1, n)
	}
	list := rng.Perm(hi - lo)[:min(n, hi-lo)]
	for i := range list {
		list[i] += lo
	}
	slices.Sort(list)
	return list
}

func rateFactor(troubles []Fault) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		f := 1.0
		for _, t := range troubles {
			if t.Kind == "burst" && at >= t.At && at < t.At+t.Duration {
				f *= cmp.Or(t.Size, faultKinds[t.Kind].size)
			}
		}
		return f
	}
}

func hotPrefixShare(troubles []Fault) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		f := 0.0
		for _, t := range troubles {
			if t.Kind == "hot_key" && at >= t.At && at < t.At+t.Duration {
				f = max(f, cmp.Or(t.Size, faultKinds[t.Kind].size))
			}
		}
		return f
	}
}

// faultRunner carries out steps.
type faultRunner struct {
	fleet      *Fleet
	edges      *Edges
	say        io.Writer
	startedAt  time.Time
	recoveries sync.WaitGroup
	restarts   int
	faults     map[int]map[string]float64 // of each engine: what is on now
}

func (r *faultRunner) play(ctx context.Context, steps []Step) {
	r.faults = map[int]map[string]float64{}
	for _, s := range steps {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(r.startedAt.Add(s.At))):
		}
		fmt.Fprintf(r.say, "%6.2fs %s engine %d edge %d over %v\n", time.Since(r.startedAt).Seconds(), s.Kind, s.Engine,
			s.Edge, s.Ends)
		r.apply(s)
	}
}

func (r *faultRunner) apply(s Step) {
	if s.Edge >= 0 {
		r.recoveries.Go(func() {
			if err := r.edges.Kill(s.Edge, s.Duration); err != nil {
				fmt.Fprintln(r.say, "edge", s.Edge, "did not come back:", err)
			}
		})
		return
	}
	if s.Kind == "discovery_stale" {
		late := time.Duration(s.Size * 1e9)
		if s.Ends {
			late = 0
		}
		r.fleet.DelayList(late)
		return
	}
	e := r.fleet.Engines[s.Engine]
	if e.Overloaded() {
		return // it stays down
	}
	switch {
	case s.Kind == "flush":
		e.ClearCache()
	case s.Kind == "drain":
		r.fleet.Drain(e, !s.Ends)
	case s.Kind == "preempt" && !s.Ends: // told first, gone after its notice
		r.fleet.Drain(e, true)
		r.recoveries.Go(func() {
			time.Sleep(time.Duration(s.Size * 1e9))
			e.Crash()
			r.fleet.Remove(e)
		})
	case (s.Kind == "crash" || s.Kind == "mass_restart") && !s.Ends:
		e.Crash()
		r.recoveries.Go(func() {
			time.Sleep(min(s.Duration/2, time.Second)) // the list hears of it late
			if s.Duration > time.Second {
				r.fleet.Remove(e)
			}
		})
	case s.Ends && (s.Kind == "crash" || s.Kind == "mass_restart" || s.Kind == "preempt" || s.Kind == "vanish"):
		delete(r.faults, s.Engine)
		e.SetFaults(engine.Faults{})
		if err := e.Restart(); err != nil {
			fmt.Fprintln(r.say, err)
			return
		}
		r.restarts++
		r.fleet.Restore(e)
	default:
		on := r.faults[s.Engine]
		if on == nil {
			on = map[string]float64{}
			r.faults[s.Engine] = on
		}
		on[s.Kind] = s.Size
		if s.Ends {
			delete(on, s.Kind)
		}
		e.SetFaults(combineFaults(on))
	}
}

// combineFaults makes one set of faults of those that are on at once.
func combineFaults(on map[string]float64) (f engine.Faults) {
	f.Slowdown = 1
	for kind, size := range on {
		switch kind {
		case "vanish", "pauses":
			f.Unresponsive = true
		case "slow", "neighbour", "ageing":
			f.Slowdown *= max(1, size)
		case "handshake_slow":
			f.ResponseDelay = time.Duration(size * 1e9)
		case "stall_first":
			f.StallFirst = true
		case "stall":
			f.StallAfter = max(1, int(size))
		case "break":
			f.BreakAfter = max(1, int(size))
		case "half_answer":
			f.TruncatePrefill = true
		case "lie":
			f.EmptyLoadReport = true
		case "fail":
			f.FailStatus = min(599, max(400, int(size)))
		}
	}
	return f
}

func isReady(ctx context.Context, addr string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/readyz", nil)
	if err != nil {
		return false
	}
	r.Close = true
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// benchFaultKinds are the names of the bench's troubles and of ours.
var benchFaultKinds = map[string]string{"vanish": "vanish", "slow": "slow", "burst": "burst", "hot_key": "hot_key",
	"discovery_stale": "discovery_stale", "balancer_crash": "balancer_crash", "balancer_roll": "balancer_roll",
	"flush": "flush", "mass_restart": "mass_restart", "neighbour": "neighbour", "pauses": "pauses",
	"handshake_slow": "handshake_slow", "ageing": "ageing", "preempt": "preempt"}

// benchScenario is what is read of a day as the bench draws it; times in microseconds.
type benchScenario struct {
	Family, Kind string
	Noise        float64
	Length       float64
	DrainGrace   float64 `json:"drain_grace"`
	FallFor      float64 `json:"fall_for"`
	Traffic      struct{ Load float64 }
	Clients      struct{ Retries int }
	Classes      []struct {
		Name, Effect                string
		Share, Aim, Deadline, Worth float64
	}
	Servers   []struct{ Kind int }
	Balancers []json.RawMessage
	Troubles  []struct {
		Kind          string
		At, Len, Size float64
		On            []int
	}
	Fam struct {
		Roles   []string
		Release float64
		Talks   []struct{ Prefixes int }
	}
}

func readBench(day []byte) (*benchScenario, error) {
	var b benchScenario
	if err := json.Unmarshal(day, &b); err != nil {
		return nil, fmt.Errorf("not a day of the bench: %w", err)
	}
	if b.Family != "twostage" || len(b.Servers) == 0 || len(b.Balancers) == 0 || len(b.Classes) == 0 ||
		len(b.Fam.Talks) == 0 {
		return nil, fmt.Errorf("not a day of the bench with readers and writers")
	}
	for i, s := range b.Servers {
		if s.Kind < 0 || s.Kind >= len(b.Fam.Roles) {
			return nil, fmt.Errorf("servers[%d].kind: %d has no role", i, s.Kind)
		}
	}
	return &b, nil
}
