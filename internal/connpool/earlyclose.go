package connpool

import (
	"fmt"
	"maps"
	"time"
)

const (
	// earlyCloseRetention is how long early closes are remembered. Network faults last for some ten seconds, and a new
	// connection for each attempt costs an engine a millisecond of work.
	earlyCloseRetention = 10 * time.Second
	// earlyCloseMaxIdle is the idle time from which the close of an idle connection is normal: engines keep idle connections
	// for seconds.
	earlyCloseMaxIdle = time.Second
)

// earlyCloses records when the other side last closed idle connections too early.
type earlyCloses struct {
	byEngine map[string]int64
	last     int64 // time of the last early close by any engine; 0 for none
}

func (e *earlyCloses) record(engine string, now int64) { e.byEngine[engine], e.last = now, now }

func (e *earlyCloses) isRecentFor(engine string, now int64) bool {
	at, known := e.byEngine[engine]
	return known && time.Duration(now-at) < earlyCloseRetention
}

func (e *earlyCloses) isRecentForAny(now int64) bool {
	return e.last > 0 && time.Duration(now-e.last) < earlyCloseRetention
}

func (e *earlyCloses) expire(now int64) {
	maps.DeleteFunc(e.byEngine, func(_ string, at int64) bool { return time.Duration(now-at) >= earlyCloseRetention })
}

// RecordEarlyClose records that the other side closed a connection too early: just as a request was written, or after a
// very short idle time. The record guards against engines and networks that close connections after a response, as a
// request written to such a connection may have run. It is harmful where an engine restarts often, since each of the first
// attempts at the engine then needs a new connection.
func (p *Pool) RecordEarlyClose(engine string, now int64) { p.earlyCloses.record(engine, now) }

// MaxReuseIdle returns how long a connection to an engine may have been idle to be reused: maxIdle, or 0 after a recent
// early close. For an attempt that must not run twice, an early close by any engine counts.
func (p *Pool) MaxReuseIdle(engine string, now int64, maxIdle time.Duration, mayRunTwice bool) time.Duration {
	if p.earlyCloses.isRecentFor(engine, now) || !mayRunTwice && p.earlyCloses.isRecentForAny(now) {
		return 0
	}
	return maxIdle
}

// EarlyCloseFingerprint returns the early closes that still count as a text of ages by engine; the empty name means any
// engine.
func (p *Pool) EarlyCloseFingerprint(now int64) string {
	ages := map[string]int64{} // ages in nanoseconds
	for engine, at := range p.earlyCloses.byEngine {
		if p.earlyCloses.isRecentFor(engine, now) {
			ages[engine] = now - at
		}
	}
	if p.earlyCloses.isRecentForAny(now) {
		ages[""] = now - p.earlyCloses.last
	}
	return fmt.Sprint(ages)
}
