package scenario

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"sandcourse/internal/fake/engine"
)

// maxRemoveDelay is the maximum time from the crash of an engine to its removal from the endpoint list.
const maxRemoveDelay = time.Second

// faultRunner executes the steps of a scenario.
type faultRunner struct {
	fleet      *Fleet
	edges      *Edges
	out        io.Writer
	startedAt  time.Time
	background sync.WaitGroup
	restarts   int
	active     map[int]map[FaultKind]float64 // fault sizes by engine and kind
}

func newFaultRunner(fleet *Fleet, edges *Edges, out io.Writer) *faultRunner {
	return &faultRunner{fleet: fleet, edges: edges, out: out, startedAt: time.Now(), active: map[int]map[FaultKind]float64{}}
}

// run executes each step at its time.
func (r *faultRunner) run(ctx context.Context, steps []Step) {
	for _, s := range steps {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(r.startedAt.Add(s.At))):
		}
		fmt.Fprintf(r.out, "%6.2fs %s: engine %d, edge %d, ends fault: %v\n", time.Since(r.startedAt).Seconds(), s.Kind, s.Engine, s.Edge, s.EndsFault)
		r.apply(s)
	}
}

func (r *faultRunner) apply(s Step) {
	switch {
	case s.Edge != noTarget:
		r.killEdge(s)
	case s.Kind == FaultStaleList && s.EndsFault:
		r.fleet.DelayList(0)
	case s.Kind == FaultStaleList:
		r.fleet.DelayList(seconds(s.Size))
	default:
		e := r.fleet.Engines[s.Engine]
		if !e.Overloaded() { // An overloaded engine stays down.
			r.applyToEngine(s, e)
		}
	}
}

func (r *faultRunner) killEdge(s Step) {
	r.background.Go(func() {
		if err := r.edges.Kill(s.Edge, s.Duration); err != nil {
			fmt.Fprintln(r.out, "edge", s.Edge, "did not restart:", err)
		}
	})
}

func (r *faultRunner) applyToEngine(s Step, e *engine.Engine) {
	switch s.Kind {
	case FaultCacheFlush:
		e.ClearCache()
	case FaultDrain:
		r.fleet.Drain(e, !s.EndsFault)
	case FaultCrash, FaultMassRestart, FaultPreempt:
		if s.EndsFault {
			r.restart(s, e)
		} else if s.Kind == FaultPreempt {
			r.preempt(s, e)
		} else {
			r.crash(s, e)
		}
	case FaultVanish:
		if s.EndsFault {
			r.restart(s, e)
			return
		}
		r.setFault(s, e)
	default:
		r.setFault(s, e)
	}
}

// preempt lists an engine as draining and crashes it after the notice period, whose seconds are the size of the fault.
func (r *faultRunner) preempt(s Step, e *engine.Engine) {
	r.fleet.Drain(e, true)
	r.background.Go(func() {
		time.Sleep(seconds(s.Size))
		e.Crash()
		r.fleet.Remove(e)
	})
}

// crash crashes an engine. The engine is removed from the endpoint list after a delay, unless the crash lasts at most
// maxRemoveDelay.
func (r *faultRunner) crash(s Step, e *engine.Engine) {
	e.Crash()
	r.background.Go(func() {
		time.Sleep(min(s.Duration/2, maxRemoveDelay))
		if s.Duration > maxRemoveDelay {
			r.fleet.Remove(e)
		}
	})
}

// restart ends the faults of an engine and restarts it.
func (r *faultRunner) restart(s Step, e *engine.Engine) {
	delete(r.active, s.Engine)
	e.SetFaults(engine.Faults{})
	if err := e.Restart(); err != nil {
		fmt.Fprintln(r.out, err)
		return
	}
	r.restarts++
	r.fleet.Restore(e)
}

// setFault begins or ends a fault that the fake engine injects.
func (r *faultRunner) setFault(s Step, e *engine.Engine) {
	active := r.active[s.Engine]
	if active == nil {
		active = map[FaultKind]float64{}
		r.active[s.Engine] = active
	}
	active[s.Kind] = s.Size
	if s.EndsFault {
		delete(active, s.Kind)
	}
	e.SetFaults(combineFaults(active))
}

// combineFaults returns the fake engine's settings for all faults that are active at the same time.
func combineFaults(active map[FaultKind]float64) (f engine.Faults) {
	f.Slowdown = 1
	for kind, size := range active {
		switch kind {
		case FaultVanish, FaultPauses:
			f.Unresponsive = true
		case FaultSlow, FaultNoisyNeighbour, FaultAgeing:
			f.Slowdown *= max(1, size)
		case FaultSlowAccept:
			f.ResponseDelay = seconds(size)
		case FaultStallFirst:
			f.StallFirst = true
		case FaultStall:
			f.StallAfter = max(1, int(size))
		case FaultBreak:
			f.BreakAfter = max(1, int(size))
		case FaultHalfResponse:
			f.TruncatePrefill = true
		case FaultFalseLoad:
			f.EmptyLoadReport = true
		case FaultFail:
			f.FailStatus = min(599, max(400, int(size)))
		}
	}
	return f
}
