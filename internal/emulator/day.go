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
	Name             string        `json:"name"`
	Effect           string        `json:"effect"`
	Share            float64       `json:"share"`
	PriorityWeight   float64       `json:"value"`
	FirstTokenTarget time.Duration `json:"target"`
	Timeout          time.Duration `json:"timeout"`
	PromptTokens     float64       `json:"prompt"` // tokens of a user's own part, on average
	AnswerTokens     float64       `json:"answer"` // tokens, on average
}

// Fault is one thing that goes wrong for a time.
type Fault struct {
	Kind     string        `json:"kind"` // see Kinds
	At       time.Duration `json:"at"`
	Duration time.Duration `json:"for"`
	Fraction float64       `json:"part"` // share of engines, or the factor of a burst or of slowness
	Role     string        `json:"role"` // of engines; both if empty
}

// FaultKinds of trouble.
var FaultKinds = []string{"burst", "restart", "slow", "silent", "drain", "forget", "lost"}

// Scenario is one day of the emulator.
type Scenario struct {
	Routers, PrefillEngines, DecodeEngines int
	Length                                 time.Duration
	RequestRate                            float64 // first tries a second
	Routes                                 []Route
	Prefixes                               int     // shared, used by a Zipf law
	PrefixTokens                           float64 // tokens of one
	Turns                                  int
	Retries                                int     // of a client after what failed
	RetryBudget                            float64 // share of a node's arrivals that may be retries; 0 for any
	Engine                                 EngineModel
	Faults                                 []Fault
	Seed                                   uint64
}

// EngineModel is what each engine can do. The defaults are of the order that published work on disaggregated
// serving gives for models of some tens of billions of parameters on one box of eight accelerators: 10,000 to
// 20,000 prompt tokens and some thousand answer tokens a second, 20 to 50 ms a token (DistServe, Zhong et al.
// 2024; Splitwise, Patel et al. 2024).
type EngineModel struct {
	PrefillSlots, DecodeSlots int
	PrefillRate               float64       // prompt tokens a second of one slot
	TokenTime                 time.Duration // of one answer token in an empty batch
	BatchSlowdown             float64       // how much longer a token takes in a full one
	QueueLimit                int
	MemoryTokens              float64 // tokens that a writer holds
	TransferRate              float64 // tokens a second of a state on its way
	WarmUp                    time.Duration
	WarmUpShare               float64
}

// Defaults is a day of a small fleet with two routes.
func Defaults() Scenario {
	return Scenario{Routers: 4, PrefillEngines: 6, DecodeEngines: 6, Length: 60 * time.Second, RequestRate: 40, Prefixes: 20,
		PrefixTokens: 800, Turns: 3, Retries: 2,
		Routes: []Route{
			{Name: "clip-summary", Effect: "retriable", Share: 0.6, PriorityWeight: 1,
				FirstTokenTarget: 1500 * time.Millisecond, Timeout: 6 * time.Second, PromptTokens: 600, AnswerTokens: 80},
			{Name: "fan-alert", Effect: "non-retriable", Share: 0.4, PriorityWeight: 5,
				FirstTokenTarget: 800 * time.Millisecond, Timeout: 4 * time.Second, PromptTokens: 150, AnswerTokens: 40}},
		Engine: EngineModel{PrefillSlots: 2, DecodeSlots: 16, PrefillRate: 8000, TokenTime: 20 * time.Millisecond,
			BatchSlowdown: 1, QueueLimit: 64, MemoryTokens: 60_000,
			TransferRate: 200_000, WarmUp: 10 * time.Second, WarmUpShare: 0.3}, Seed: 1}
}

// Result is what a day came to.
type Result struct {
	Offered         float64            `json:"offered"` // value of first tries
	CompletedInTime float64            `json:"in_time"`
	Share           float64            `json:"share"`
	Routes          map[string]float64 `json:"routes"`  // share in time of each
	Windows         []float64          `json:"windows"` // share of value in time, each five seconds, by when its client first asked
	Outcomes        map[string]int     `json:"finals"`
	Attempts        int                `json:"tries"`
	Rejected        int                `json:"refused"` // before they were inferences
	PrefillTokens   float64            `json:"read_tokens"`
	CachedTokens    float64            `json:"kept_tokens"`   // of prompts read
	WastedTokens    float64            `json:"wasted_tokens"` // read for what no first token came of
	RanTwice        int                `json:"ran_twice"`     // non-retriable inferences
	Overloaded      int                `json:"pushed_over"`   // cold engines
	HeldAtEnd       int                `json:"held_at_end"`
	Events          int                `json:"events"`
	FirstTokenP50   time.Duration      `json:"first_p50"`
	FirstTokenP99   time.Duration      `json:"first_p99"`
}

// windowLength of the course of a day.
const windowLength = 5 * time.Second

// event is something that will happen.
type event struct {
	at       int64
	sequence int64
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, request int) bool {
	return q[i].at < q[request].at || q[i].at == q[request].at && q[i].sequence < q[request].sequence
}
func (q eventQueue) Swap(i, request int) { q[i], q[request] = q[request], q[i] }
func (q *eventQueue) Push(x any)         { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return e
}

// emulation is one run.
type emulation struct {
	scenario        Scenario
	now             int64
	sequence        int64
	queue           eventQueue
	random          *rand.Rand
	routers         []*simulatedRouter
	engines         []*engine
	engineByName    map[string]*engine
	requests        map[string]*clientRequest // by the client's name for it
	rateFactor      float64
	listRevision    int64 // revision
	result          Result
	offeredByWindow []float64 // by window: offered
	inTimeByWindow  []float64
	firstTokenTimes []int64
	offeredByRoute  map[string]float64
	inTimeByRoute   map[string]float64
}

const startTime = int64(1000 * time.Second)

func (em *emulation) schedule(d time.Duration, do func()) { em.scheduleAt(em.now+int64(max(0, d)), do) }

func (em *emulation) scheduleAt(t int64, do func()) {
	em.sequence++
	heap.Push(&em.queue, event{max(t, em.now), em.sequence, do})
}

// Run plays a day.
func Run(d Scenario) Result {
	em := &emulation{scenario: d, now: startTime, random: rand.New(rand.NewPCG(d.Seed, 0x1ab)), engineByName: map[string]*engine{},
		requests: map[string]*clientRequest{}, rateFactor: 1,
		offeredByRoute: map[string]float64{}, inTimeByRoute: map[string]float64{}}
	em.result.Outcomes, em.result.Routes = map[string]int{}, map[string]float64{}
	windows := int(d.Length/windowLength) + 1
	em.offeredByWindow, em.inTimeByWindow = make([]float64, windows), make([]float64, windows)
	em.build()
	for _, t := range d.Faults {
		em.scheduleAt(startTime+int64(t.At), func() { em.injectFault(t) })
	}
	em.nextArrival(0)
	end := startTime + int64(d.Length)
	// What is open at the end is let go on for as long as a client waits at most, and states are let go of.
	rest := time.Duration(0)
	for _, r := range d.Routes {
		rest = max(rest, r.Timeout)
	}
	for len(em.queue) > 0 && em.queue[0].at <= end+int64(rest+10*time.Second) {
		e := heap.Pop(&em.queue).(event)
		em.now = e.at
		e.run()
		em.result.Events++
	}
	return em.summarize()
}

func (em *emulation) summarize() Result {
	r := &em.result
	for i, v := range em.offeredByWindow {
		if v > 0 {
			r.Windows = append(r.Windows, em.inTimeByWindow[i]/v)
		}
	}
	for name, v := range em.offeredByRoute {
		r.Routes[name] = em.inTimeByRoute[name] / v
	}
	r.Share = r.CompletedInTime / math.Max(r.Offered, 1e-9)
	for _, engine := range em.engines {
		r.HeldAtEnd += len(engine.reservations)
	}
	if n := len(em.firstTokenTimes); n > 0 {
		slices.Sort(em.firstTokenTimes)
		r.FirstTokenP50, r.FirstTokenP99 = time.Duration(em.firstTokenTimes[n/2]), time.Duration(em.firstTokenTimes[min(n-1, n*99/100)])
	}
	return *r
}

// injectFault begins one, and ends it after its time.
func (em *emulation) injectFault(t Fault) {
	if t.Kind == "burst" {
		em.rateFactor *= t.Fraction
		em.schedule(t.Duration, func() { em.rateFactor /= t.Fraction })
		return
	}
	var hit []*engine
	for _, engine := range em.engines {
		if t.Role == "" || t.Role == engine.role {
			hit = append(hit, engine)
		}
	}
	n := int(math.Ceil(t.Fraction * float64(len(hit))))
	if t.Kind == "slow" {
		n = len(hit)
	}
	for _, engine := range hit[:min(n, len(hit))] {
		switch t.Kind {
		case "restart": // it is away for as long, and starts cold
			engine.crash()
			em.schedule(t.Duration, func() { engine.start(); em.publish() })
		case "lost":
			engine.crash()
			engine.unlisted = true
			em.publish()
			em.schedule(t.Duration, func() { engine.unlisted = false; engine.start(); em.publish() })
		case "slow":
			engine.slowdown = t.Fraction
			em.schedule(t.Duration, func() { engine.slowdown = 1 })
		case "silent":
			engine.unresponsive = true
			em.schedule(t.Duration, func() { engine.resume() })
		case "drain":
			engine.draining = true
			em.publish()
			em.schedule(t.Duration, func() { engine.draining = false; em.publish() })
		case "forget":
			clear(engine.cached)
		}
	}
}
