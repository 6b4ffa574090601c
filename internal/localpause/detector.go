// Package localpause detects pauses of this process, such as on a busy machine or after SIGSTOP. After a pause, input that
// arrived in the meantime is still unread, so a missing response does not yet mean that the peer is silent. The package does no
// I/O.
package localpause

import "time"

const (
	// pauseThreshold is the shortest delay that counts as a pause. It exceeds the scheduling delay of an idle machine.
	pauseThreshold = 20 * time.Millisecond
	// maxCatchUpTime is the longest time assumed for reading the input that arrived during a pause.
	maxCatchUpTime = 100 * time.Millisecond
)

// Detector detects pauses from readings of a clock in nanoseconds. The zero value is ready to use.
type Detector struct {
	lastReadingAt  int64
	pauseStartedAt int64 // last clock reading before the latest pause
	caughtUpAt     int64 // time from which the input that arrived during the pause counts as read
}

// Update records a reading of the clock. If the process was waiting, due is the time at which the wait should have ended;
// otherwise it is 0.
func (d *Detector) Update(now, due int64) {
	if d.lastReadingAt > 0 {
		d.recordPause(time.Duration(now-max(d.lastReadingAt, due)), now)
	}
	d.lastReadingAt = now
}

func (d *Detector) recordPause(pause time.Duration, now int64) {
	if pause < pauseThreshold {
		return
	}
	d.pauseStartedAt = d.lastReadingAt
	d.caughtUpAt = now + int64(min(pause, maxCatchUpTime))
}

// ObservedUntil returns the time up to which the process has observed its input, provided that it has handled all input that
// it has read.
func (d *Detector) ObservedUntil(now int64) int64 {
	if now < d.caughtUpAt {
		return min(now, d.pauseStartedAt)
	}
	return now
}

// IsLate reports whether a timer fires so long after it was due that the process must have been paused.
func IsLate(now, due int64) bool { return time.Duration(now-due) >= pauseThreshold }
