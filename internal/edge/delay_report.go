package edge

import (
	"time"

	"go.uber.org/zap"
)

// LogOwnerLate is the log message for events that waited too long for the owner.
const LogOwnerLate = "events wait for the owner"

const (
	// lateThreshold is the queueing delay from which a task counts as late: a third of the time limit for forwarding an event
	// of a stream.
	lateThreshold = int64(100 * time.Millisecond)
	// lateLogInterval is the minimum interval between log lines about late tasks.
	lateLogInterval = int64(time.Second)
)

// delayReport measures how long tasks wait for the owner, and logs delays that are too long. Only the owner uses it.
type delayReport struct {
	edge     *Edge
	longest  time.Duration // longest delay since the last log line
	lane     lane          // lane of the task that waited longest
	late     int           // number of late tasks since the last log line
	loggedAt int64
}

func newDelayReport(e *Edge) delayReport { return delayReport{edge: e} }

// record records how long a task that is run now has waited.
func (r *delayReport) record(taskLane lane, now, queuedAt int64) {
	delay := time.Duration(max(0, now-queuedAt))
	r.edge.metrics.ownerDelay.WithLabelValues(laneNames[taskLane]).Observe(delay.Seconds())
	if int64(delay) < lateThreshold {
		return
	}
	r.late++
	if delay > r.longest {
		r.longest, r.lane = delay, taskLane
	}
}

// logIfLate writes one log line about late tasks, at most once in lateLogInterval.
func (r *delayReport) logIfLate(now int64) {
	if r.late == 0 || now-r.loggedAt < lateLogInterval {
		return
	}
	r.edge.log.Warn(LogOwnerLate, zap.Duration("longest", r.longest), zap.String("kind", laneNames[r.lane]), zap.Int("late", r.late),
		zap.Int("requests", r.edge.router.InFlight().Requests))
	r.loggedAt, r.late, r.longest = now, 0, 0
}
