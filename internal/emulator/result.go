package emulator

import (
	"math"
	"slices"
	"time"

	"sandcourse/internal/protocol/chat"
)

// Result is the outcome of a run. Values are in priority weight.
type Result struct {
	Offered         float64            `json:"offered"` // by first attempts
	CompletedInTime float64            `json:"in_time"`
	Share           float64            `json:"share"`   // completed in time of what was offered
	Routes          map[string]float64 `json:"routes"`  // share in time of each
	Windows         []float64          `json:"windows"` // share in time of each five seconds, by when the client sent its first attempt
	Outcomes        map[string]int     `json:"finals"`
	Attempts        int                `json:"tries"`
	Rejected        int                `json:"refused"` // before they were admitted
	PrefillTokens   float64            `json:"read_tokens"`
	CachedTokens    float64            `json:"kept_tokens"`   // of the prompts
	WastedTokens    float64            `json:"wasted_tokens"` // prefilled for what got no first token
	RanTwice        int                `json:"ran_twice"`     // non-retriable requests
	Overloaded      int                `json:"pushed_over"`   // engines that were warming up
	HeldAtEnd       int                `json:"held_at_end"`   // reservations
	Events          int                `json:"events"`
	FirstTokenP50   time.Duration      `json:"first_p50"`
	FirstTokenP99   time.Duration      `json:"first_p99"`
}

// The outcomes of an attempt of a client, in the words of the chat API; a client that gave up has left.
const (
	outcomeCompleted = chat.OutcomeCompleted
	outcomeErrored   = chat.OutcomeErrored
	outcomeShed      = chat.OutcomeShed
	outcomeLeft      = "left"
)

// windowLength is the length of the windows of a result.
const windowLength = 5 * time.Second

// recorder adds up a result during a run.
type recorder struct {
	result          Result
	offeredByWindow []float64
	inTimeByWindow  []float64
	offeredByRoute  map[string]float64
	inTimeByRoute   map[string]float64
	firstTokenTimes []int64
}

func newRecorder(length time.Duration) *recorder {
	windows := int(length/windowLength) + 1
	return &recorder{result: Result{Outcomes: map[string]int{}, Routes: map[string]float64{}},
		offeredByWindow: make([]float64, windows), inTimeByWindow: make([]float64, windows),
		offeredByRoute: map[string]float64{}, inTimeByRoute: map[string]float64{}}
}

func (r *recorder) windowOf(sentAt int64) int {
	return min(int((sentAt-startTime)/int64(windowLength)), len(r.offeredByWindow)-1)
}

// offered records the first attempt of a request.
func (r *recorder) offered(route Route, sentAt int64) {
	r.result.Offered += route.PriorityWeight
	r.offeredByRoute[route.Name] += route.PriorityWeight
	r.offeredByWindow[r.windowOf(sentAt)] += route.PriorityWeight
}

// completedInTime records a request whose first token came in time after its first attempt.
func (r *recorder) completedInTime(route Route, sentAt int64) {
	r.result.CompletedInTime += route.PriorityWeight
	r.inTimeByRoute[route.Name] += route.PriorityWeight
	r.inTimeByWindow[r.windowOf(sentAt)] += route.PriorityWeight
}

// summarize is the result, with the reservations that are still held.
func (r *recorder) summarize(held int) Result {
	sum := r.result
	for i, offered := range r.offeredByWindow {
		if offered > 0 {
			sum.Windows = append(sum.Windows, r.inTimeByWindow[i]/offered)
		}
	}
	for name, offered := range r.offeredByRoute {
		sum.Routes[name] = r.inTimeByRoute[name] / offered
	}
	sum.Share = sum.CompletedInTime / math.Max(sum.Offered, 1e-9)
	sum.HeldAtEnd = held
	if n := len(r.firstTokenTimes); n > 0 {
		slices.Sort(r.firstTokenTimes)
		sum.FirstTokenP50 = time.Duration(r.firstTokenTimes[n/2])
		sum.FirstTokenP99 = time.Duration(r.firstTokenTimes[min(n-1, n*99/100)])
	}
	return sum
}
