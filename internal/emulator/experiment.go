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
	Name   string
	Change Day // the whole day of this arm, but for its seed
}

// Experiment is days of several arms on paired seeds.
type Experiment struct {
	Seeds int
	Arms  []Arm
}

// ReadExperiment runs a script: day, route, trouble, engine, and arms, each of which may set what a day may.
// The error is of type script.Faults.
func ReadExperiment(name string, text []byte) (*Experiment, error) {
	x := &Experiment{Seeds: 5}
	d := Defaults()
	var routes []Route
	type fault = func(key, format string, args ...any)
	keys := func(d *Day) []script.Argument {
		return []script.Argument{{Name: "nodes", Target: &d.Nodes, Min: 1, Max: 300},
			{Name: "readers", Target: &d.Readers, Min: 1, Max: 1000},
			{Name: "writers", Target: &d.Writers, Min: 1, Max: 1000},
			{Name: "rate", Target: &d.Rate, Min: 0.01, Max: 1e5},
			{Name: "beginnings", Target: &d.Beginnings, Min: 1, Max: 1e6},
			{Name: "shared_tokens", Target: &d.Shared, Max: 1e6},
			{Name: "turns", Target: &d.Turns, Min: 1, Max: 100}, {Name: "retries", Target: &d.Retries, Max: 100},
			{Name: "retry_share", Target: &d.Budget, Max: 1}}
	}
	var arms []func()
	calls := map[string]script.Function{
		"day": func() ([]script.Argument, func(fault)) {
			return append(keys(&d), script.Argument{Name: "length", Target: &d.Length, Min: 1, Max: 36000},
				script.Argument{Name: "seeds", Target: &x.Seeds, Min: 1, Max: 1000}), nil
		},
		"engine": func() ([]script.Argument, func(fault)) {
			e := &d.Engine
			return []script.Argument{{Name: "read_slots", Target: &e.ReadSlots, Min: 1, Max: 1000},
				{Name: "write_slots", Target: &e.WriteSlots, Min: 1, Max: 1000},
				{Name: "read_pace", Target: &e.ReadPace, Min: 1, Max: 1e7},
				{Name: "token_time", Target: &e.TokenTime, Min: 0.0001, Max: 1},
				{Name: "batch", Target: &e.Batch, Max: 100}, {Name: "queue", Target: &e.Queue, Min: 1, Max: 100_000},
				{Name: "memory", Target: &e.Memory, Min: 100, Max: 1e9},
				{Name: "move", Target: &e.Move, Min: 1, Max: 1e9},
				{Name: "cold", Target: &e.Cold, Max: 600},
				{Name: "cold_share", Target: &e.ColdShare, Min: 0.01, Max: 1}}, nil
		},
		"route": func() ([]script.Argument, func(fault)) {
			r := Route{Effect: "retriable", Share: 1, Value: 1, Target: time.Second,
				Timeout: 5 * time.Second, Prompt: 300, Answer: 60}
			return []script.Argument{{Name: "name", Target: &r.Name, Required: true},
					{Name: "effect", Target: &r.Effect, Allowed: []string{"retriable", "deduped", "non-retriable"}},
					{Name: "share", Target: &r.Share, Min: 0.0001, Max: 1e6},
					{Name: "value", Target: &r.Value, Min: 0.001, Max: 1e6},
					{Name: "first_token_target", Target: &r.Target, Min: 0.01, Max: 600},
					{Name: "route_timeout", Target: &r.Timeout, Min: 0.05, Max: 3600},
					{Name: "prompt_tokens", Target: &r.Prompt, Min: 1, Max: 1e6},
					{Name: "answer_tokens", Target: &r.Answer, Min: 2, Max: 1e6}},
				func(fault) { routes = append(routes, r) }
		},
		"trouble": func() ([]script.Argument, func(fault)) {
			t := Trouble{For: 10 * time.Second, Part: 0.25}
			return []script.Argument{{Name: "kind", Target: &t.Kind, Allowed: Kinds, Required: true},
					{Name: "at", Target: &t.At, Max: 36000},
					{Name: "length", Target: &t.For, Max: 36000}, {Name: "part", Target: &t.Part, Max: 1000},
					{Name: "role", Target: &t.Role, Allowed: []string{"read", "write"}}},
				func(fault) { d.Troubles = append(d.Troubles, t) }
		},
		// An arm's keys are set once more on a day that is whole: what stands below an arm in the script
		// holds for it too.
		"arm": func() ([]script.Argument, func(fault)) {
			a := &Arm{}
			was, set := d, d
			a.Change = set
			row := append([]script.Argument{{Name: "name", Target: &a.Name, Required: true}}, keys(&a.Change)...)
			return row, func(say fault) {
				if slices.ContainsFunc(x.Arms, func(o Arm) bool { return o.Name == a.Name }) {
					say("name", "arm %q stands twice", a.Name)
				}
				x.Arms = append(x.Arms, *a)
				i := len(x.Arms) - 1
				arms = append(arms, func() {
					whole, mine := d, x.Arms[i].Change
					merge(&whole, was, mine)
					x.Arms[i].Change = whole
				})
			}
		},
	}
	err := script.Run(name, text, calls, func(say func(string, ...any)) {
		if len(routes) > 0 {
			d.Routes = routes
		}
		if len(x.Arms) == 0 {
			x.Arms = []Arm{{Name: "as it is", Change: d}}
			return
		}
		for _, a := range arms {
			a()
		}
		for _, t := range d.Troubles {
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

// merge sets on a whole day what an arm changed of the day that it was read on.
func merge(whole *Day, was, mine Day) {
	for _, p := range []struct{ to, was, mine *int }{{&whole.Nodes, &was.Nodes, &mine.Nodes},
		{&whole.Readers, &was.Readers, &mine.Readers},
		{&whole.Writers, &was.Writers, &mine.Writers}, {&whole.Beginnings, &was.Beginnings, &mine.Beginnings},
		{&whole.Turns, &was.Turns, &mine.Turns}, {&whole.Retries, &was.Retries, &mine.Retries}} {
		if *p.was != *p.mine {
			*p.to = *p.mine
		}
	}
	for _, p := range []struct{ to, was, mine *float64 }{{&whole.Rate, &was.Rate, &mine.Rate},
		{&whole.Shared, &was.Shared, &mine.Shared},
		{&whole.Budget, &was.Budget, &mine.Budget}} {
		if *p.was != *p.mine {
			*p.to = *p.mine
		}
	}
}

// Compared is what one arm came to, against the first.
type Compared struct {
	Name    string
	Results []Result
	Share   float64 // of value in time, mean over seeds
	Diff    float64 // to the first arm, paired by seed
	Low     float64 // of the difference, 95 of 100 by bootstrap
	High    float64
	Worst   float64       // window of five seconds, mean over seeds
	Back    time.Duration // from the end of the last trouble until nine tenths of value are in time for three windows; -1 for never, median
	Course  []float64     // value in time by window, mean over seeds
}

// Compare sets arms against the first. Results are by arm and seed.
func (x *Experiment) Compare(results [][]Result) (row []Compared) {
	rng := rand.New(rand.NewPCG(9, 9))
	for i, a := range x.Arms {
		c := Compared{Name: a.Name, Results: results[i]}
		var share, diff, worst, back []float64
		for s, r := range results[i] {
			share = append(share, r.Share)
			diff = append(diff, r.Share-results[0][s].Share)
			worst = append(worst, slices.Min(r.Windows))
			back = append(back, float64(backAfter(a.Change, r)))
			for k, v := range r.Windows {
				if k >= len(c.Course) {
					c.Course = append(c.Course, 0)
				}
				c.Course[k] += v / float64(len(results[i]))
			}
		}
		c.Share, c.Diff, c.Worst = stat.Mean(share, nil), stat.Mean(diff, nil), stat.Mean(worst, nil)
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
		c.Back = time.Duration(back[len(back)/2])
		row = append(row, c)
	}
	return row
}

// backAfter is how long after its last trouble a day was well again.
func backAfter(d Day, r Result) time.Duration {
	end := time.Duration(0)
	for _, t := range d.Troubles {
		end = max(end, t.At+t.For)
	}
	for k := int(end / window); k+2 < len(r.Windows); k++ {
		if min(r.Windows[k], r.Windows[k+1], r.Windows[k+2]) >= 0.9 {
			return max(0, time.Duration(k)*window-end)
		}
	}
	return -1
}
