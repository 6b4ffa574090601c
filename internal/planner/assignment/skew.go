package assignment

import (
	"time"

	"sandcourse/internal/planner/planapi"
)

const (
	maxPrefillShares = 240  // limit of prefillShares: four minutes at one share each second
	maxSkewDurations = 6    // number of durations kept for each role
	minSkew          = 0.05 // least deviation from the average that counts as a skew; less is within the variance of the counts
)

// skewTracker records when and for how long the load is skewed to one role, compared with the average load.
type skewTracker struct {
	prefillShares []float64                  // share of prefill in all work, one per decision
	role          string                     // role of the current or last skew; empty before the first skew
	startedAt     int64                      // start of the skew in nanoseconds
	durations     map[string][]time.Duration // durations of the last skews by role
}

// observe records how many engines of each role the load keeps busy now.
func (s *skewTracker) observe(now int64, required perRole) {
	total := required.prefill + required.decode
	if total == 0 {
		return
	}
	share := required.prefill / total
	s.prefillShares = appendBounded(s.prefillShares, share, maxPrefillShares)
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
	if s.role != "" && s.startedAt > 0 {
		s.durations[s.role] = appendBounded(s.durations[s.role], time.Duration(now-s.startedAt), maxSkewDurations)
	}
	s.role, s.startedAt = role, now
}

// expectedRemaining returns the seconds for which a skew to a role is expected to continue: the average over earlier
// skews that lasted longer than this one so far or, if no skew did, the time that this one has lasted. That time is
// gainingSeconds if the load is not skewed to the role.
func (s *skewTracker) expectedRemaining(now int64, role string, gainingSeconds float64) float64 {
	if s.role != role {
		return min(gainingSeconds, maxSkewForecast.Seconds())
	}
	elapsed := time.Duration(now - s.startedAt)
	total, longerSkews := 0.0, 0
	for _, duration := range s.durations[role] {
		if duration > elapsed {
			total, longerSkews = total+seconds(duration-elapsed), longerSkews+1
		}
	}
	if longerSkews > 0 {
		return min(total/float64(longerSkews), maxSkewForecast.Seconds())
	}
	return min(seconds(elapsed), maxSkewForecast.Seconds())
}
