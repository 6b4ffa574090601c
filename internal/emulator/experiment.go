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
	type fault = script.ReportFault
	keys := func(d *Scenario) []script.Argument {
		return []script.Argument{script.Number("nodes", &d.Routers, 1, 300),
			script.Number("readers", &d.PrefillEngines, 1, 1000),
			script.Number("writers", &d.DecodeEngines, 1, 1000),
			script.Number("rate", &d.RequestRate, 0.01, 1e5),
			script.Number("beginnings", &d.Prefixes, 1, 1e6),
			script.Number("shared_tokens", &d.PrefixTokens, 0, 1e6),
			script.Number("turns", &d.Turns, 1, 100), script.Number("retries", &d.Retries, 0, 100),
			script.Number("retry_share", &d.RetryBudget, 0, 1)}
	}
	var arms []func()
	calls := map[string]script.Function{
		"day": func() ([]script.Argument, func(fault)) {
			return append(keys(&d), script.Number("length", &d.Length, 1, 36000),
				script.Number("seeds", &x.Seeds, 1, 1000)), nil
		},
		"engine": func() ([]script.Argument, func(fault)) {
			e := &d.Engine
			return []script.Argument{script.Number("read_slots", &e.PrefillSlots, 1, 1000),
				script.Number("write_slots", &e.DecodeSlots, 1, 1000),
				script.Number("read_pace", &e.PrefillRate, 1, 1e7),
				script.Number("token_time", &e.TokenTime, 0.0001, 1),
				script.Number("batch", &e.BatchSlowdown, 0, 100), script.Number("queue", &e.QueueLimit, 1, 100_000),
				script.Number("memory", &e.MemoryTokens, 100, 1e9),
				script.Number("move", &e.TransferRate, 1, 1e9),
				script.Number("cold", &e.WarmUp, 0, 600),
				script.Number("cold_share", &e.WarmUpShare, 0.01, 1)}, nil
		},
		"route": func() ([]script.Argument, func(fault)) {
			r := Route{Effect: "retriable", Share: 1, PriorityWeight: 1, FirstTokenTarget: time.Second,
				Timeout: 5 * time.Second, PromptTokens: 300, AnswerTokens: 60}
			return []script.Argument{script.Text("name", &r.Name).Required(),
					script.OneOf("effect", &r.Effect, "retriable", "deduped", "non-retriable"),
					script.Number("share", &r.Share, 0.0001, 1e6),
					script.Number("value", &r.PriorityWeight, 0.001, 1e6),
					script.Number("first_token_target", &r.FirstTokenTarget, 0.01, 600),
					script.Number("route_timeout", &r.Timeout, 0.05, 3600),
					script.Number("prompt_tokens", &r.PromptTokens, 1, 1e6),
					script.Number("answer_tokens", &r.AnswerTokens, 2, 1e6)},
				func(fault) { routes = append(routes, r) }
		},
		"trouble": func() ([]script.Argument, func(fault)) {
			t := Fault{Duration: 10 * time.Second, Fraction: 0.25}
			return []script.Argument{script.OneOf("kind", &t.Kind, FaultKinds...).Required(),
					script.Number("at", &t.At, 0, 36000),
					script.Number("length", &t.Duration, 0, 36000), script.Number("part", &t.Fraction, 0, 1000),
					script.OneOf("role", &t.Role, "read", "write")},
				func(fault) { d.Faults = append(d.Faults, t) }
		},
		// An arm's keys are set once more on a day that is whole: what stands below an arm in the script
		// holds for it too.
		"arm": func() ([]script.Argument, func(fault)) {
			a := &Arm{}
			was, set := d, d
			a.Scenario = set
			list := append([]script.Argument{script.Text("name", &a.Name).Required()}, keys(&a.Scenario)...)
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
	err := script.Run(name, text, calls, func(say script.ReportScriptFault) {
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
