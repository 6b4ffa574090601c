package reservation

import "time"

// Limits bound a table. Its times are in nanoseconds.
type Limits struct {
	KeepTime             int64 // how long a reservation may wait to be consumed, from the last time at which an attempt was in flight
	RepeatInterval       int64 // between two acknowledged releases
	RetryInterval        int64 // between the first releases that are not acknowledged; the interval doubles after some
	AbandonAfter         int64 // how long releases are tried that no engine acknowledges
	MaxReservations      int
	ReleasesWholeRequest bool // a release frees all reservations of its request, whichever prefill made them
}

const (
	// abandonAfterLimits is for how many reservation limits unacknowledged releases are tried. A router may be cut off
	// from all engines for some seconds and owes the release once it is not; engines that never acknowledge must not be
	// asked for ever.
	abandonAfterLimits = 10

	maxRetryInterval = 50 * time.Millisecond
	minRetryInterval = time.Millisecond
	// retriesPerLimit is how many retry intervals fit into a short reservation limit.
	retriesPerLimit = 16
)

// LimitsFor derives the limits of a router that must have each reservation consumed or released within limit.
func LimitsFor(limit time.Duration, releasesWholeRequest bool, maxReservations int) Limits {
	return Limits{
		// A quarter remains for the releases and for a process that is not scheduled in time. The routing policy releases
		// earlier by itself: this is the last resort.
		KeepTime: int64(limit) * 3 / 4,
		// A reservation that is made just after a release has half the limit left at the next one.
		RepeatInterval:       int64(limit / 2),
		RetryInterval:        int64(max(minRetryInterval, min(maxRetryInterval, limit/retriesPerLimit))),
		AbandonAfter:         int64(abandonAfterLimits * limit),
		MaxReservations:      maxReservations,
		ReleasesWholeRequest: releasesWholeRequest,
	}
}
