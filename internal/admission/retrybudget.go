package admission

import "time"

// RetryBudget limits the share of retries among the requests of the last ten seconds. After a fault every client whose
// request failed retries, and a fleet near its limits then serves retries of failed requests instead of requests that could
// be answered in time. This overload outlasts the fault. A retry over the budget is rejected at once, before any routing
// decision, so its rejection costs nothing.
//
// There are two exceptions. The first three retries of any ten seconds are allowed, since an idle router must not reject a
// single retry. A retry that the client does not declare counts as a first try.
type RetryBudget struct {
	share  float64 // largest share of retries; 0 for no limit
	window [windowSeconds]secondCount
}

type secondCount struct {
	second            int64 // current second of the caller's clock
	requests, retries float64
}

const (
	// windowSeconds exceeds the time that clients wait before a retry, and is shorter than most faults.
	windowSeconds = 10
	// minRetries is how many retries are allowed in any window, whatever the share.
	minRetries = 3
)

// NewRetryBudget returns a budget with the given share of retries; a share of 0 sets no limit.
func NewRetryBudget(share float64) *RetryBudget { return &RetryBudget{share: share} }

// Allow counts a request and reports whether it is within the budget. The time now is in nanoseconds.
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

// countsAt returns the number of requests and retries in the window that ends with the given second.
func (b *RetryBudget) countsAt(second int64) (requests, retries float64) {
	for _, counted := range b.window {
		if counted.second > second-windowSeconds && counted.second <= second {
			requests, retries = requests+counted.requests, retries+counted.retries
		}
	}
	return requests, retries
}
