// Package lab emulates the served systems in simulated time: clients, edges that run the real node with its
// module, limits and connections, and engines with slots, queues, memory, kept beginnings and cold starts.
// One seed and one owner: a day is the same to the byte whatever else the machine does. It does no I/O.
package emulator

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Route is one model route and its clients.
type Route struct {
	Name    string        `json:"name"`
	Effect  string        `json:"effect"`
	Share   float64       `json:"share"`
	Value   float64       `json:"value"`
	Target  time.Duration `json:"target"`
	Timeout time.Duration `json:"timeout"`
	Prompt  float64       `json:"prompt"` // tokens of a user's own part, on average
	Answer  float64       `json:"answer"` // tokens, on average
}

// Trouble is one thing that goes wrong for a time.
type Trouble struct {
	Kind string        `json:"kind"` // see Kinds
	At   time.Duration `json:"at"`
	For  time.Duration `json:"for"`
	Part float64       `json:"part"` // share of engines, or the factor of a burst or of slowness
	Role string        `json:"role"` // of engines; both if empty
}

// Kinds of trouble.
var Kinds = []string{"burst", "restart", "slow", "silent", "drain", "forget", "lost"}

// Day is one day of the emulator.
type Day struct {
	Nodes, Readers, Writers int
	Length                  time.Duration
	Rate                    float64 // first tries a second
	Routes                  []Route
	Beginnings              int     // shared, used by a Zipf law
	Shared                  float64 // tokens of one
	Turns                   int
	Retries                 int     // of a client after what failed
	Budget                  float64 // share of a node's arrivals that may be retries; 0 for any
	Engine                  Engine
	Troubles                []Trouble
	Seed                    uint64
}

// Engine is what each engine can do. The defaults are of the order that published work on disaggregated
// serving gives for models of some tens of billions of parameters on one box of eight accelerators: 10,000 to
// 20,000 prompt tokens and some thousand answer tokens a second, 20 to 50 ms a token (DistServe, Zhong et al.
// 2024; Splitwise, Patel et al. 2024).
type Engine struct {
	ReadSlots, WriteSlots int
	ReadPace              float64       // prompt tokens a second of one slot
	TokenTime             time.Duration // of one answer token in an empty batch
	Batch                 float64       // how much longer a token takes in a full one
	Queue                 int
	Memory                float64 // tokens that a writer holds
	Move                  float64 // tokens a second of a state on its way
	Cold                  time.Duration
	ColdShare             float64
}

// Defaults is a day of a small fleet with two routes.
func Defaults() Day {
	return Day{Nodes: 4, Readers: 6, Writers: 6, Length: 60 * time.Second, Rate: 40, Beginnings: 20,
		Shared: 800, Turns: 3, Retries: 2,
		Routes: []Route{
			{Name: "clip-summary", Effect: "retriable", Share: 0.6, Value: 1,
				Target: 1500 * time.Millisecond, Timeout: 6 * time.Second, Prompt: 600, Answer: 80},
			{Name: "fan-alert", Effect: "non-retriable", Share: 0.4, Value: 5,
				Target: 800 * time.Millisecond, Timeout: 4 * time.Second, Prompt: 150, Answer: 40}},
		Engine: Engine{ReadSlots: 2, WriteSlots: 16, ReadPace: 8000, TokenTime: 20 * time.Millisecond,
			Batch: 1, Queue: 64, Memory: 60_000,
			Move: 200_000, Cold: 10 * time.Second, ColdShare: 0.3}, Seed: 1}
}

// Result is what a day came to.
type Result struct {
	Offered  float64            `json:"offered"` // value of first tries
	InTime   float64            `json:"in_time"`
	Share    float64            `json:"share"`
	Routes   map[string]float64 `json:"routes"`  // share in time of each
	Windows  []float64          `json:"windows"` // share of value in time, each five seconds, by when its client first asked
	Finals   map[string]int     `json:"finals"`
	Tries    int                `json:"tries"`
	Refused  int                `json:"refused"` // before they were inferences
	Reads    float64            `json:"read_tokens"`
	Kept     float64            `json:"kept_tokens"`   // of prompts read
	Wasted   float64            `json:"wasted_tokens"` // read for what no first token came of
	Twice    int                `json:"ran_twice"`     // non-retriable inferences
	Pushed   int                `json:"pushed_over"`   // cold engines
	Held     int                `json:"held_at_end"`
	Events   int                `json:"events"`
	FirstP50 time.Duration      `json:"first_p50"`
	FirstP99 time.Duration      `json:"first_p99"`
}

// window of the course of a day.
const window = 5 * time.Second

// event is something that will happen.
type event struct {
	at  int64
	seq int64
	do  func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return e
}

// world is one run.
type world struct {
	d       Day
	now     int64
	seq     int64
	queue   events
	rng     *rand.Rand
	nodes   []*edge
	engines []*box
	byName  map[string]*box
	asks    map[string]*ask // by the client's name for it
	burst   float64
	list    int64 // revision
	res     Result
	valueOf []float64 // by window: offered
	gotIn   []float64
	firsts  []int64
	offered map[string]float64
	got     map[string]float64
}

const beginning = int64(1000 * time.Second)

func (w *world) after(d time.Duration, do func()) { w.at(w.now+int64(max(0, d)), do) }

func (w *world) at(t int64, do func()) {
	w.seq++
	heap.Push(&w.queue, event{max(t, w.now), w.seq, do})
}

// Run plays a day.
func Run(d Day) Result {
	w := &world{d: d, now: beginning, rng: rand.New(rand.NewPCG(d.Seed, 0x1ab)), byName: map[string]*box{},
		asks: map[string]*ask{}, burst: 1,
		offered: map[string]float64{}, got: map[string]float64{}}
	w.res.Finals, w.res.Routes = map[string]int{}, map[string]float64{}
	windows := int(d.Length/window) + 1
	w.valueOf, w.gotIn = make([]float64, windows), make([]float64, windows)
	w.build()
	for _, t := range d.Troubles {
		w.at(beginning+int64(t.At), func() { w.trouble(t) })
	}
	w.nextArrival(0)
	end := beginning + int64(d.Length)
	// What is open at the end is let go on for as long as a client waits at most, and states are let go of.
	rest := time.Duration(0)
	for _, r := range d.Routes {
		rest = max(rest, r.Timeout)
	}
	for len(w.queue) > 0 && w.queue[0].at <= end+int64(rest+10*time.Second) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
		w.res.Events++
	}
	return w.sum()
}

func (w *world) sum() Result {
	r := &w.res
	for i, v := range w.valueOf {
		if v > 0 {
			r.Windows = append(r.Windows, w.gotIn[i]/v)
		}
	}
	for name, v := range w.offered {
		r.Routes[name] = w.got[name] / v
	}
	r.Share = r.InTime / math.Max(r.Offered, 1e-9)
	for _, b := range w.engines {
		r.Held += len(b.states)
	}
	if n := len(w.firsts); n > 0 {
		slices.Sort(w.firsts)
		r.FirstP50, r.FirstP99 = time.Duration(w.firsts[n/2]), time.Duration(w.firsts[min(n-1, n*99/100)])
	}
	return *r
}

// trouble begins one, and ends it after its time.
func (w *world) trouble(t Trouble) {
	if t.Kind == "burst" {
		w.burst *= t.Part
		w.after(t.For, func() { w.burst /= t.Part })
		return
	}
	var hit []*box
	for _, b := range w.engines {
		if t.Role == "" || t.Role == b.role {
			hit = append(hit, b)
		}
	}
	n := int(math.Ceil(t.Part * float64(len(hit))))
	if t.Kind == "slow" {
		n = len(hit)
	}
	for _, b := range hit[:min(n, len(hit))] {
		switch t.Kind {
		case "restart": // it is away for as long, and starts cold
			b.crash()
			w.after(t.For, func() { b.start(); w.publish() })
		case "lost":
			b.crash()
			b.gone = true
			w.publish()
			w.after(t.For, func() { b.gone = false; b.start(); w.publish() })
		case "slow":
			b.slow = t.Part
			w.after(t.For, func() { b.slow = 1 })
		case "silent":
			b.silent = true
			w.after(t.For, func() { b.wake() })
		case "drain":
			b.drains = true
			w.publish()
			w.after(t.For, func() { b.drains = false; w.publish() })
		case "forget":
			clear(b.kept)
		}
	}
}
