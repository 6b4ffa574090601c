package edge

import (
	"time"

	"go.uber.org/zap"
)

// LogOwnerLate is the log message of an edge whose events wait for too long.
const LogOwnerLate = "events wait for the owner"

const (
	// lateDelay is from which delay of a task on an edge counts as late: a third of what an event of a stream has in all.
	lateDelay = int64(100 * time.Millisecond)
	// lateLogInterval bounds the log lines of an edge that stays late.
	lateLogInterval = int64(time.Second)
)

// delayReport measures how long tasks wait for the owner, and logs where that is too long. It is the owner's.
type delayReport struct {
	edge     *Edge
	longest  time.Duration // since the last log line
	lane     lane          // of the task that waited longest
	late     int           // tasks that waited for longer than lateDelay since the last log line
	loggedAt int64
}

func newDelayReport(e *Edge) delayReport { return delayReport{edge: e} }

// note records how long a task has waited that is run now.
func (r *delayReport) note(in lane, now, queuedAt int64) {
	delay := time.Duration(max(0, now-queuedAt))
	r.edge.metrics.ownerDelay.WithLabelValues(laneNames[in]).Observe(delay.Seconds())
	if int64(delay) < lateDelay {
		return
	}
	r.late++
	if delay > r.longest {
		r.longest, r.lane = delay, in
	}
}

// logIfLate writes one line about the tasks that were late, at most one in lateLogInterval.
func (r *delayReport) logIfLate(now int64) {
	if r.late == 0 || now-r.loggedAt < lateLogInterval {
		return
	}
	r.edge.log.Warn(LogOwnerLate, zap.Duration("longest", r.longest), zap.String("kind", laneNames[r.lane]), zap.Int("late", r.late),
		zap.Int("requests", r.edge.router.InFlight().Requests))
	r.loggedAt, r.late, r.longest = now, 0, 0
}
