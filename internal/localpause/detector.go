// Package localpause detects when this process was not run for a while, as on a machine that is busy or after a stop signal.
// What others did meanwhile is still unread then, and their silence is not a fact yet. It does no I/O.
package localpause

import "time"

const (
	// threshold is from which delay on a process counts as paused: above that of a scheduler with little to do.
	threshold = 20 * time.Millisecond
	// maxCatchUp is for how long at most a process reads what has arrived during a pause.
	maxCatchUp = 100 * time.Millisecond
)

// Detector is told of each look at the clock. Points in time are in nanoseconds since the start. The zero value has seen no
// pause.
type Detector struct {
	lastLook    int64
	pausedSince int64 // the last look before the latest pause
	caughtUpAt  int64 // when what arrived during it counts as read
}

// Look notes a look at the clock, which was due by a time; 0 where the process did not wait.
func (d *Detector) Look(now, due int64) {
	if d.lastLook > 0 {
		d.notePause(time.Duration(now-max(d.lastLook, due)), now)
	}
	d.lastLook = now
}

func (d *Detector) notePause(pause time.Duration, now int64) {
	if pause < threshold {
		return
	}
	d.pausedSince = d.lastLook
	d.caughtUpAt = now + int64(min(pause, maxCatchUp))
}

// Observed is up to when the process has seen what others did, if it has handled all that it has read.
func (d *Detector) Observed(now int64) int64 {
	if now < d.caughtUpAt {
		return min(now, d.pausedSince)
	}
	return now
}

// IsLate is whether a process looks at the clock so late after a time at which something was due that it was paused then.
func IsLate(now, due int64) bool { return time.Duration(now-due) >= threshold }
