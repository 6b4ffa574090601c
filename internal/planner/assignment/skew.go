package assignment

import (
	"time"

	"sandcourse/internal/planner/planapi"
)

const (
	maxShares        = 240  // four minutes of seconds
	maxSkewDurations = 6    // of each role
	minSkew          = 0.05 // less is within the variance of counts
)

// skewTracker notes when the load is skewed to one role, compared with its average, and for how long.
type skewTracker struct {
	prefillShares []float64                  // of prefill in all work, one per decision
	role          string                     // to which the load is skewed now; empty until it was once
	since         int64                      // nanoseconds
	durations     map[string][]time.Duration // of the last skews to each role
}

// observe takes how many engines of each role the load keeps busy now.
func (s *skewTracker) observe(now int64, required perRole) {
	total := required.prefill + required.decode
	if total == 0 {
		return
	}
	share := required.prefill / total
	s.prefillShares = appendBounded(s.prefillShares, share, maxShares)
	mean := 0.0
	for _, earlier := range s.prefillShares {
		mean += earlier / float64(len(s.prefillShares))
	}
	role := s.role
	if share > mean+minSkew {
		role = planapi.Prefill
	} else if share < mean-minSkew {
		role = planapi.Decode
	}
	if role == s.role {
		return
	}
	if s.role != "" && s.since > 0 {
		s.durations[s.role] = appendBounded(s.durations[s.role], time.Duration(now-s.since), maxSkewDurations)
	}
	s.role, s.since = role, now
}

// expectedRemaining is for how many seconds a skew to a role is expected to go on: as long as earlier ones that
// had lasted as long by then, or as long again as it has lasted, if there was none.
func (s *skewTracker) expectedRemaining(now int64, role string, gainingSeconds float64) float64 {
	if s.role != role {
		return min(gainingSeconds, maxSkewForecast.Seconds())
	}
	lasted := time.Duration(now - s.since)
	total, longer := 0.0, 0
	for _, duration := range s.durations[role] {
		if duration > lasted {
			total, longer = total+seconds(duration-lasted), longer+1
		}
	}
	if longer > 0 {
		return min(total/float64(longer), maxSkewForecast.Seconds())
	}
	return min(seconds(lasted), maxSkewForecast.Seconds())
}
