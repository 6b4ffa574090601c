package assignment

import (
	"slices"
	"time"
)

const (
	maxChangeStarts    = 32 // remembered for the budget of changes per minute
	maxChangeDurations = 8  // of which the median is the expected duration of the next change
)

// changeHistory remembers when changes began and how long completed ones took.
type changeHistory struct {
	starts    []int64
	durations []time.Duration // from the start of the drain until the trial passed
}

func (h *changeHistory) begin(now int64) { h.starts = appendBounded(h.starts, now, maxChangeStarts) }

func (h *changeHistory) complete(duration time.Duration) {
	h.durations = appendBounded(h.durations, duration, maxChangeDurations)
}

// startedWithin counts the changes that began less than a period before now.
func (h *changeHistory) startedWithin(now int64, period time.Duration) (count int) {
	for _, startedAt := range h.starts {
		if time.Duration(now-startedAt) < period {
			count++
		}
	}
	return count
}

// median is the upper median of durations, and 0 of none.
func median(durations []time.Duration) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(durations))
	return sorted[len(sorted)/2]
}
