package reservation

import "time"

// Limits holds the time spans of a Table and its maximum size.
type Limits struct {
	KeepTime             time.Duration // time that a reservation may wait to be consumed, after an attempt was last in flight
	RepeatInterval       time.Duration // time between two acknowledged releases
	RetryInterval        time.Duration // time between unacknowledged releases; doubles after the first steadyRetries
	AbandonAfter         time.Duration // time for which releases that no engine acknowledges are retried
	MaxReservations      int
	ReleasesWholeRequest bool // a release frees all reservations of its request, whichever prefill made them
}

const (
	// abandonAfterLimits is how long unacknowledged releases are retried, in reservation limits. A router may be
	// cut off from all engines for some seconds and must still release afterwards; engines that never acknowledge must not
	// be retried forever.
	abandonAfterLimits = 10

	maxRetryInterval = 50 * time.Millisecond
	minRetryInterval = time.Millisecond
	// retriesPerLimit is how many retry intervals fit into a short reservation limit.
	retriesPerLimit = 16
)

// LimitsFor derives the limits of a router that must have each reservation consumed or released within limit.
func LimitsFor(limit time.Duration, releasesWholeRequest bool, maxReservations int) Limits {
	return Limits{
		// A quarter of the limit remains for the releases and for a process that is not scheduled in time. The routing policy
		// releases earlier by itself: the keep time is the last resort.
		KeepTime: limit * 3 / 4,
		// A reservation that is made just after a release has half the limit left at the next release.
		RepeatInterval:       limit / 2,
		RetryInterval:        max(minRetryInterval, min(maxRetryInterval, limit/retriesPerLimit)),
		AbandonAfter:         abandonAfterLimits * limit,
		MaxReservations:      maxReservations,
		ReleasesWholeRequest: releasesWholeRequest,
	}
}
