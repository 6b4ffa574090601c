package admission

import "time"

// RetryBudget is a node's budget of repeated calls: of all calls of the last ten seconds, so many may be retries.
// When something breaks, every client that fails comes back, and a fleet near its limits then serves retries
// of what has failed instead of what could be in time; it stays so after the cause is gone. What is over the
// budget is refused at once, before the module is asked, which costs nothing.
//
// Exceptions: the first three retries of any ten seconds are taken, as a quiet node must not refuse the only
// one; and a client that does not say that it retries is not seen to.
type RetryBudget struct {
	share  float64 // 0 for any number
	window [windowSeconds]secondCount
}

type secondCount struct {
	second            int64 // since the epoch
	requests, retries float64
}

const (
	// Ten: longer than clients wait before a retry, shorter than a spell of trouble.
	windowSeconds = 10
	minRetries    = 3
)

// NewRetryBudget makes a budget; a share of 0 sets no bound.
func NewRetryBudget(share float64) *RetryBudget { return &RetryBudget{share: share} }

// Allow counts a call and says whether it is taken. Now is in nanoseconds.
func (r *RetryBudget) Allow(now int64, isRetry bool) bool {
	if r.share <= 0 {
		return true
	}
	second := now / int64(time.Second)
	current := &r.window[second%windowSeconds]
	if current.second != second {
		*current = secondCount{second: second}
	}
	requests, retries := 0.0, 0.0
	for _, counted := range r.window {
		if counted.second > second-windowSeconds && counted.second <= second {
			requests, retries = requests+counted.requests, retries+counted.retries
		}
	}
	if isRetry && retries >= max(minRetries, r.share*requests) {
		return false
	}
	current.requests++
	if isRetry {
		current.retries++
	}
	return true
}
