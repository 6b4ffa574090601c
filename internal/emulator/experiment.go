package emulator

import (
	"math/rand/v2"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"

	"sandcourse/internal/config/script"
)

// Arm is one way to run a day that is compared with others on the same seeds.
type Arm struct {
	Name     string
	Scenario Scenario // the whole day of this arm, but for its seed
}

// Experiment is days of several arms on paired seeds.
type Experiment struct {
	Seeds int
	Arms  []Arm
}

// ParseExperiment runs a script: day, route, trouble, engine, and arms, each of which may set what a day may.
// The error is of type script.Faults.
func ParseExperiment(name string, text []byte) (*Experiment, error) {
	x := &Experiment{Seeds: 5}
	d := Defaults()
	var routes []Route
	type fault = func(key, format string, args ...any)
	keys := func(d *Scenario) []script.Argument {
		return []script.Argument{{Name: "nodes", Target: &d.Routers, Min: 1, Max: 300},
			{Name: "readers", Target: &d.PrefillEngines, Min: 1, Max: 1000},
			{Name: "writers", Target: &d.DecodeEngines, Min: 1, Max: 1000},
			{Name: "rate", Target: &d.RequestRate, Min: 0.01, Max: 1e5},
			{Name: "beginnings", Target: &d.Prefixes, Min: 1, Max: 1e6},
			{Name: "shared_tokens", Target: &d.PrefixTokens, Max: 1e6},
			{Name: "turns", Target: &d.Turns, Min: 1, Max: 100}, {Name: "retries", Target: &d.Retries, Max: 100},
			{Name: "retry_share", Target: &d.RetryBudget, Max: 1}}
	}
	var arms []func()
	calls := map[string]script.Function{
		"day": func() ([]script.Argument, func(fault)) {
			return append(keys(&d), script.Argument{Name: "length", Target: &d.Length, Min: 1, Max: 36000},
				script.Argument{Name: "seeds", Target: &x.Seeds, Min: 1, Max: 1000}), nil
		},
		"engine": func() ([]script.Argument, func(fault)) {
			e := &d.Engine
			return []script.Argument{{Name: "read_slots", Target: &e.PrefillSlots, Min: 1, Max: 1000},
				{Name: "write_slots", Target: &e.DecodeSlots, Min: 1, Max: 1000},
				{Name: "read_pace", Target: &e.PrefillRate, Min: 1, Max: 1e7},
				{Name: "token_time", Target: &e.TokenTime, Min: 0.0001, Max: 1},
				{Name: "batch", Target: &e.BatchSlowdown, Max: 100}, {Name: "queue", Target: &e.QueueLimit, Min: 1, Max: 100_000},
				{Name: "memory", Target: &e.MemoryTokens, Min: 100, Max: 1e9},
				{Name: "move", Target: &e.TransferRate, Min: 1, Max: 1e9},
				{Name: "cold", Target: &e.WarmUp, Max: 600},
				{Name: "cold_share", Target: &e.WarmUpShare, Min: 0.01, Max: 1}}, nil
		},
		"route": func() ([]script.Argument, func(fault)) {
			r := Route{Effect: "retriable", Share: 1, PriorityWeight: 1, FirstTokenTarget: time.Second,
				Timeout: 5 * time.Second, PromptTokens: 300, AnswerTokens: 60}
			return []script.Argument{{Name: "name", Target: &r.Name, Required: true},
					{Name: "effect", Target: &r.Effect, Allowed: []string{"retriable", "deduped", "non-retriable"}},
					{Name: "share", Target: &r.Share, Min: 0.0001, Max: 1e6},
					{Name: "value", Target: &r.PriorityWeight, Min: 0.001, Max: 1e6},
					{Name: "first_token_target", Target: &r.FirstTokenTarget, Min: 0.01, Max: 600},
					{Name: "route_timeout", Target: &r.Timeout, Min: 0.05, Max: 3600},
					{Name: "prompt_tokens", Target: &r.PromptTokens, Min: 1, Max: 1e6},
					{Name: "answer_tokens", Target: &r.AnswerTokens, Min: 2, Max: 1e6}},
				func(fault) { routes = append(routes, r) }
		},
		"trouble": func() ([]script.Argument, func(fault)) {
			t := Fault{Duration: 10 * time.Second, Fraction: 0.25}
			return []script.Argument{{Name: "kind", Target: &t.Kind, Allowed: FaultKinds, Required: true},
					{Name: "at", Target: &t.At, Max: 36000},
					{Name: "length", Target: &t.Duration, Max: 36000}, {Name: "part", Target: &t.Fraction, Max: 1000},
					{Name: "role", Target: &t.Role, Allowed: []string{"read", "write"}}},
				func(fault) { d.Faults = append(d.Faults, t) }
		},
		// An arm's keys are set once more on a day that is whole: what stands below an arm in the script
		// holds for it too.
		"arm": func() ([]script.Argument, func(fault)) {
			a := &Arm{}
			was, set := d, d
			a.Scenario = set
			list := append([]script.Argument{{Name: "name", Target: &a.Name, Required: true}}, keys(&a.Scenario)...)
			return list, func(say fault) {
				if slices.ContainsFunc(x.Arms, func(o Arm) bool { return o.Name == a.Name }) {
					say("name", "arm %q stands twice", a.Name)
				}
				x.Arms = append(x.Arms, *a)
				i := len(x.Arms) - 1
				arms = append(arms, func() {
					whole, mine := d, x.Arms[i].Scenario
					applyArmChanges(&whole, was, mine)
					x.Arms[i].Scenario = whole
				})
			}
		},
	}
	err := script.Run(name, text, calls, func(say func(string, ...any)) {
		if len(routes) > 0 {
			d.Routes = routes
		}
		if len(x.Arms) == 0 {
			x.Arms = []Arm{{Name: "as it is", Scenario: d}}
			return
		}
		for _, a := range arms {
			a()
		}
		for _, t := range d.Faults {
			if t.At > d.Length {
				say("trouble: %s begins %v into a day of %v", t.Kind, t.At, d.Length)
			}
		}
	})
	if err != nil {
		return nil, err
	}
	return x, nil
}

// applyArmChanges sets on a whole day what an arm changed of the day that it was read on.
func applyArmChanges(whole *Scenario, was, mine Scenario) {
	for _, p := range []struct{ to, was, mine *int }{{&whole.Routers, &was.Routers, &mine.Routers},
		{&whole.PrefillEngines, &was.PrefillEngines, &mine.PrefillEngines},
		{&whole.DecodeEngines, &was.DecodeEngines, &mine.DecodeEngines}, {&whole.Prefixes, &was.Prefixes, &mine.Prefixes},
		{&whole.Turns, &was.Turns, &mine.Turns}, {&whole.Retries, &was.Retries, &mine.Retries}} {
		if *p.was != *p.mine {
			*p.to = *p.mine
		}
	}
	for _, p := range []struct{ to, was, mine *float64 }{{&whole.RequestRate, &was.RequestRate, &mine.RequestRate},
		{&whole.PrefixTokens, &was.PrefixTokens, &mine.PrefixTokens},
		{&whole.RetryBudget, &was.RetryBudget, &mine.RetryBudget}} {
		if *p.was != *p.mine {
			*p.to = *p.mine
		}
	}
}

// Comparison is what one arm came to, against the first.
type Comparison struct {
	Name         string
	Results      []Result
	Share        float64 // of value in time, mean over seeds
	Difference   float64 // to the first arm, paired by seed
	Low          float64 // of the difference, 95 of 100 by bootstrap
	High         float64
	WorstWindow  float64       // window of five seconds, mean over seeds
	RecoveryTime time.Duration // from the end of the last trouble until nine tenths of value are in time for three windows; -1 for never, median
	ByWindow     []float64     // value in time by window, mean over seeds
}

// Compare sets arms against the first. Results are by arm and seed.
func (x *Experiment) Compare(results [][]Result) (list []Comparison) {
	rng := rand.New(rand.NewPCG(9, 9))
	for i, a := range x.Arms {
		c := Comparison{Name: a.Name, Results: results[i]}
		var share, diff, worst, back []float64
		for s, r := range results[i] {
			share = append(share, r.Share)
			diff = append(diff, r.Share-results[0][s].Share)
			worst = append(worst, slices.Min(r.Windows))
			back = append(back, float64(recoveryTime(a.Scenario, r)))
			for k, v := range r.Windows {
				if k >= len(c.ByWindow) {
					c.ByWindow = append(c.ByWindow, 0)
				}
				c.ByWindow[k] += v / float64(len(results[i]))
			}
		}
		c.Share, c.Difference, c.WorstWindow = stat.Mean(share, nil), stat.Mean(diff, nil), stat.Mean(worst, nil)
		var means []float64
		for range 2000 {
			sum := 0.0
			for range diff {
				sum += diff[rng.IntN(len(diff))]
			}
			means = append(means, sum/float64(len(diff)))
		}
		slices.Sort(means)
		c.Low, c.High = means[len(means)*25/1000], means[len(means)*975/1000]
		slices.Sort(back)
		c.RecoveryTime = time.Duration(back[len(back)/2])
		list = append(list, c)
	}
	return list
}

// recoveryTime is how long after its last trouble a day was well again.
func recoveryTime(d Scenario, r Result) time.Duration {
	end := time.Duration(0)
	for _, t := range d.Faults {
		end = max(end, t.At+t.Duration)
	}
	for k := int(end / windowLength); k+2 < len(r.Windows); k++ {
		if min(r.Windows[k], r.Windows[k+1], r.Windows[k+2]) >= 0.9 {
			return max(0, time.Duration(k)*windowLength-end)
		}
	}
	return -1
}
