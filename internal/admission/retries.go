package admission

import "time"

// Retries is a node's budget of repeated calls: of all calls of the last ten seconds, so many may be retries.
// When something breaks, every client that fails comes back, and a fleet near its limits then serves retries
// of what has failed instead of what could be in time; it stays so after the cause is gone. What is over the
// budget is refused at once, before the module is asked, which costs nothing.
//
// Exceptions: the first three retries of any ten seconds are taken, as a quiet node must not refuse the only
// one; and a client that does not say that it retries is not seen to.
type Retries struct {
	share float64 // 0 for any number
	row   [budgetSeconds]second
}

type second struct {
	number        int64 // since the epoch
	calls, agains float64
}

const (
	// Ten: longer than clients wait before a retry, shorter than a spell of trouble.
	budgetSeconds = 10
	always        = 3
)

// NewRetries makes a budget; a share of 0 sets no bound.
func NewRetries(share float64) *Retries { return &Retries{share: share} }

// Take counts a call and says whether it is taken. Now is in nanoseconds.
func (r *Retries) Take(now int64, again bool) bool {
	if r.share <= 0 {
		return true
	}
	number := now / int64(time.Second)
	s := &r.row[number%budgetSeconds]
	if s.number != number {
		*s = second{number: number}
	}
	calls, agains := 0.0, 0.0
	for _, o := range r.row {
		if o.number > number-budgetSeconds && o.number <= number {
			calls, agains = calls+o.calls, agains+o.agains
		}
	}
	if again && agains >= max(always, r.share*calls) {
		return false
	}
	s.calls++
	if again {
		s.agains++
	}
	return true
}
