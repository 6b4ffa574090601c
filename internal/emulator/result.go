package emulator

import (
	"math"
	"slices"
	"time"

	"sandcourse/internal/protocol/chat"
)

// Result is the result of a run. The value of a request is the priority weight of its route.
type Result struct {
	Offered         float64            `json:"offered"` // total value of all requests
	CompletedInTime float64            `json:"in_time"` // value of the requests whose first token met the target
	Share           float64            `json:"share"`   // CompletedInTime divided by Offered
	Routes          map[string]float64 `json:"routes"`  // share completed in time by route
	Windows         []float64          `json:"windows"` // share completed in time of the requests first sent in each window
	Outcomes        map[string]int     `json:"finals"`
	Attempts        int                `json:"tries"`
	Rejected        int                `json:"refused"` // attempts rejected before admission
	PrefillTokens   float64            `json:"read_tokens"`
	CachedTokens    float64            `json:"kept_tokens"`   // prompt tokens found in prefix caches
	WastedTokens    float64            `json:"wasted_tokens"` // tokens prefilled for attempts without a first token
	RanTwice        int                `json:"ran_twice"`     // non-retriable requests that ran at least twice
	Overloaded      int                `json:"pushed_over"`   // crashes of engines that were overloaded while they warmed up
	HeldAtEnd       int                `json:"held_at_end"`   // reservations still held at the end of the run
	Events          int                `json:"events"`
	FirstTokenP50   time.Duration      `json:"first_p50"`
	FirstTokenP99   time.Duration      `json:"first_p99"`
}

// The outcomes of a client's attempt: those of the chat API, and abandoned if the client disconnected at its timeout.
const (
	outcomeCompleted = chat.OutcomeCompleted
	outcomeErrored   = chat.OutcomeErrored
	outcomeShed      = chat.OutcomeShed
	outcomeAbandoned = "left"
)

// windowLength is the length of the windows of a result.
const windowLength = 5 * time.Second

// recorder accumulates the result during a run.
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

// recordOffered records the first attempt of a request.
func (r *recorder) recordOffered(route Route, sentAt int64) {
	r.result.Offered += route.PriorityWeight
	r.offeredByRoute[route.Name] += route.PriorityWeight
	r.offeredByWindow[r.windowOf(sentAt)] += route.PriorityWeight
}

// recordCompletedInTime records a completed request whose first token met the target, counted from the first attempt.
func (r *recorder) recordCompletedInTime(route Route, sentAt int64) {
	r.result.CompletedInTime += route.PriorityWeight
	r.inTimeByRoute[route.Name] += route.PriorityWeight
	r.inTimeByWindow[r.windowOf(sentAt)] += route.PriorityWeight
}

// summarize returns the result of a run that ended with a number of reservations still held.
func (r *recorder) summarize(heldReservations int) Result {
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
	sum.HeldAtEnd = heldReservations
	if n := len(r.firstTokenTimes); n > 0 {
		slices.Sort(r.firstTokenTimes)
		sum.FirstTokenP50 = time.Duration(r.firstTokenTimes[n/2])
		sum.FirstTokenP99 = time.Duration(r.firstTokenTimes[min(n-1, n*99/100)])
	}
	return sum
}
