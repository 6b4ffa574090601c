package assignment

import (
	"slices"
	"time"
)

const (
	maxChangeStarts    = 32 // number of starts kept for the budget of changes per minute
	maxChangeDurations = 8  // number of durations kept; their median is the expected duration of the next change
)

// changeHistory records when changes began and how long completed changes took.
type changeHistory struct {
	starts    []int64
	durations []time.Duration // times from the start of the drain until the trial passed
}

func (h *changeHistory) recordStart(now int64) {
	h.starts = appendBounded(h.starts, now, maxChangeStarts)
}

func (h *changeHistory) recordCompletion(duration time.Duration) {
	h.durations = appendBounded(h.durations, duration, maxChangeDurations)
}

// countStartedWithin counts the changes that began less than a period before now.
func (h *changeHistory) countStartedWithin(now int64, period time.Duration) (count int) {
	for _, startedAt := range h.starts {
		if time.Duration(now-startedAt) < period {
			count++
		}
	}
	return count
}

// median returns the upper median of durations, or 0 if there are no durations.
func median(durations []time.Duration) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(durations))
	return sorted[len(sorted)/2]
}
