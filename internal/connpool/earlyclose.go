package connpool

import (
	"fmt"
	"maps"
	"time"
)

const (
	// earlyCloseMemory is how long early closes are remembered. Faults on the network last for some ten seconds, and a
	// connection for each attempt costs an engine a millisecond of work.
	earlyCloseRetention = 10 * time.Second
	// earlyCloseAge is the idle time from which on the close of an idle connection is normal: engines keep them for seconds.
	earlyCloseMaxIdle = time.Second
)

// earlyCloses remembers when idle connections were last closed too early by the other side.
type earlyCloses struct {
	byEngine map[string]int64
	last     int64 // of any engine; 0 for none
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

// NoteEarlyClose records that the other side closed a connection too early: as it was written to, or hardly idle. This
// guards against whatever closes connections behind a response, engine or network, as what is written to such a connection
// may have run. It is harmful where an engine restarts often, as each of its first attempts then needs a connection of its
// own.
func (p *Pool) RecordEarlyClose(engine string, now int64) { p.earlyCloses.record(engine, now) }

// MaxReuseIdle is for how long a connection to an engine may have been idle to be reused: maxIdle where nothing speaks
// against it. For an attempt that must not run twice, an early close of any engine counts against all.
func (p *Pool) MaxReuseIdle(engine string, now int64, maxIdle time.Duration, mayRunTwice bool) time.Duration {
	if p.earlyCloses.isRecentFor(engine, now) || !mayRunTwice && p.earlyCloses.isRecentForAny(now) {
		return 0
	}
	return maxIdle
}

// EarlyCloseFingerprint describes the early closes that still count, by engine and relative to now; the empty name stands
// for any engine.
func (p *Pool) EarlyCloseFingerprint(now int64) string {
	ages := map[string]int64{} // nanoseconds
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
