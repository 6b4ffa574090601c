package admission

import "time"

// RetryBudget limits the share of retries among the requests of the last ten seconds. When something breaks, every client
// whose request failed comes back, and a fleet near its limits then serves retries of what has failed instead of what
// could be in time; this outlasts its cause. A retry over the budget is rejected at once, before any routing decision,
// which costs nothing.
//
// Exceptions: the first three retries of any ten seconds are allowed, as an idle router must not reject the only one; and
// a retry that its client does not declare is counted as a first try.
type RetryBudget struct {
	share  float64 // 0 for no limit
	window [windowSeconds]secondCount
}

type secondCount struct {
	second            int64 // since the epoch
	requests, retries float64
}

const (
	// windowSeconds is longer than clients wait before a retry, and shorter than most faults.
	windowSeconds = 10
	// minRetries are allowed in any window.
	minRetries = 3
)

// NewRetryBudget returns a budget; a share of 0 sets no limit.
func NewRetryBudget(share float64) *RetryBudget { return &RetryBudget{share: share} }

// Allow counts a request and reports whether it is within the budget. Now is in nanoseconds.
func (b *RetryBudget) Allow(now int64, isRetry bool) bool {
	if b.share <= 0 {
		return true
	}
	second := now / int64(time.Second)
	current := &b.window[second%windowSeconds]
	if current.second != second {
		*current = secondCount{second: second}
	}
	requests, retries := b.countsAt(second)
	if isRetry && retries >= max(minRetries, b.share*requests) {
		return false
	}
	current.requests++
	if isRetry {
		current.retries++
	}
	return true
}

// countsAt sums up the window that ends with a second.
func (b *RetryBudget) countsAt(second int64) (requests, retries float64) {
	for _, counted := range b.window {
		if counted.second > second-windowSeconds && counted.second <= second {
			requests, retries = requests+counted.requests, retries+counted.retries
		}
	}
	return requests, retries
}
