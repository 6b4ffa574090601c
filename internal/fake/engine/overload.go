package engine

import (
	"fmt"
	"time"

	"sandcourse/internal/audit"
)

// attemptBurst is the number of attempts within a window that a cold engine handles beyond its rate, because a small number of
// attempts may arrive unevenly.
const attemptBurst = 2

// speed returns the current speed of the engine as a share of full speed. The caller holds the lock.
func (e *Engine) speed() float64 {
	share := 1.0
	if !e.coldSince.IsZero() {
		if uptime := time.Since(e.coldSince); uptime < e.config.WarmUp {
			share = e.config.WarmUpShare + (1-e.config.WarmUpShare)*uptime.Seconds()/e.config.WarmUp.Seconds()
		}
	}
	if e.faults.Slowdown > 1 {
		share /= e.faults.Slowdown
	}
	return share
}

// countAttempt counts an attempt, and crashes the engine if it is cold and gets too many attempts within a window. The caller
// holds the lock.
func (e *Engine) countAttempt() {
	now := time.Now()
	e.recentAttempts = append(e.recentAttempts, now)
	for len(e.recentAttempts) > 0 && now.Sub(e.recentAttempts[0]) > e.config.OverloadWindow {
		e.recentAttempts = e.recentAttempts[1:]
	}
	if e.coldSince.IsZero() || now.Sub(e.coldSince) >= e.config.WarmUp || e.overloaded {
		return
	}
	limit := e.config.OverloadFactor*e.config.AttemptRate*e.speed()*e.config.OverloadWindow.Seconds() + attemptBurst
	if float64(len(e.recentAttempts)) > limit {
		e.overloaded = true
		e.record(audit.EngineRecord{Event: audit.Overloaded,
			Detail: fmt.Sprintf("%d attempts within %v, limit %.1f", len(e.recentAttempts), e.config.OverloadWindow, limit)})
		go e.Crash()
	}
}
