package emulator

import (
	"net/http"
	"strconv"
	"time"

	"sandcourse/internal/config"
	"sandcourse/internal/endpoint"
	"sandcourse/internal/protocol/engineapi"
)

const (
	// A warming engine crashes if it receives more attempts in a window than overloadMultiple times its current capacity plus
	// overloadSlack.
	overloadMultiple = 3
	overloadSlack    = 2
	overloadWindow   = time.Second
	// maxCachedPrefixes is the maximum size of a prefix cache; the cache is cleared when it grows beyond this size.
	maxCachedPrefixes = 4000
)

// engine is a simulated engine.
type engine struct {
	emulation      *emulation
	name           string
	role           config.Role
	isUp           bool
	isUnlisted     bool
	isDraining     bool
	isUnresponsive bool
	slowdown       float64
	incarnation    int
	coldSince      int64 // time at which the engine began to warm up; 0 if it started warm

	busySlots           int
	queue               []*engineRequest
	delayedActions      []func() // actions to run when the engine is responsive again
	usedTokens          float64
	queuedPrefillTokens float64
	reservations        map[string]float64 // number of tokens, by reservation key
	prefixCache         map[string]float64 // number of tokens, by prefix or session
	recentAttempts      []int64
	connections         map[*connection]bool
}

// entry returns the engine's entry in the endpoint list.
func (e *engine) entry() endpoint.Entry {
	entry := endpoint.Entry{ID: e.name, Kind: "prefill", Weight: 1, State: endpoint.Ready, StartedAtMs: e.coldSince / 1e6}
	if e.role == config.RoleDecode {
		entry.Kind = "decode"
	}
	if e.isDraining {
		entry.State = endpoint.Draining
	}
	return entry
}

func (e *engine) slots() int {
	if e.role == config.RolePrefill {
		return e.emulation.scenario.Engine.PrefillSlots
	}
	return e.emulation.scenario.Engine.DecodeSlots
}

// speed returns the current speed relative to that of a warm engine.
func (e *engine) speed() float64 {
	model, share := e.emulation.scenario.Engine, 1.0
	if since := time.Duration(e.emulation.now - e.coldSince); e.coldSince > 0 && since < model.WarmUp {
		share = model.WarmUpShare + (1-model.WarmUpShare)*float64(since)/float64(model.WarmUp)
	}
	return share / max(1, e.slowdown)
}

// start starts a new incarnation. Each incarnation after the first has to warm up.
func (e *engine) start() {
	e.isUp, e.isUnresponsive, e.incarnation = true, false, e.incarnation+1
	e.busySlots, e.queue, e.delayedActions, e.usedTokens, e.queuedPrefillTokens = 0, nil, nil, 0, 0
	e.reservations, e.prefixCache, e.recentAttempts = map[string]float64{}, map[string]float64{}, nil
	if e.incarnation > 1 {
		e.coldSince = e.emulation.now
	}
}

func (e *engine) crash() {
	if !e.isUp {
		return
	}
	e.isUp = false
	clear(e.reservations)
	for _, c := range sortedByID(e.connections) {
		c.resetByEngine()
	}
}

// resume makes an unresponsive engine responsive again and runs the delayed actions.
func (e *engine) resume() {
	e.isUnresponsive = false
	delayed := e.delayedActions
	e.delayedActions = nil
	for _, run := range delayed {
		run()
	}
}

// respond runs an action of an incarnation of the engine: immediately, or when the engine is responsive again. If the
// incarnation has ended, the action is dropped.
func (e *engine) respond(incarnation int, run func()) {
	if e.incarnation != incarnation || !e.isUp {
		return
	}
	if e.isUnresponsive {
		e.delayedActions = append(e.delayedActions, func() { e.respond(incarnation, run) })
		return
	}
	run()
}

// loadReport returns the headers in which the engine reports its load.
func (e *engine) loadReport() http.Header {
	h := http.Header{}
	h.Set(engineapi.HeaderMemoryShare, strconv.FormatFloat(e.usedTokens/e.emulation.scenario.Engine.MemoryTokens, 'f', 3, 64))
	h.Set(engineapi.HeaderWaitingTokens, strconv.FormatFloat(e.queuedPrefillTokens/1000, 'f', 3, 64))
	h.Set(engineapi.HeaderOpenRequests, strconv.Itoa(e.busySlots+len(e.queue)+len(e.reservations)))
	return h
}

// recordAttempt records the arrival of an attempt. Like a fake engine, an engine crashes if it receives too many attempts while
// it warms up; its capacity is computed from its slots and the mean work of the scenario.
func (e *engine) recordAttempt() {
	em := e.emulation
	e.recentAttempts = append(e.recentAttempts, em.now)
	for len(e.recentAttempts) > 0 && em.now-e.recentAttempts[0] > int64(overloadWindow) {
		e.recentAttempts = e.recentAttempts[1:]
	}
	if e.coldSince == 0 || time.Duration(em.now-e.coldSince) >= em.scenario.Engine.WarmUp {
		return
	}
	if float64(len(e.recentAttempts)) > overloadMultiple*em.scenario.warmRate(e.role)*e.speed()+overloadSlack {
		em.recorder.result.Overloaded++
		e.crash()
	}
}

// warmRate returns the number of attempts per second, in the scenario's mix of routes, that a warm engine of a role serves.
func (s Scenario) warmRate(role config.Role) float64 {
	work, totalShare, slots := 0.0, 0.0, s.Engine.PrefillSlots
	if role != config.RolePrefill {
		slots = s.Engine.DecodeSlots
	}
	for _, r := range s.Routes {
		totalShare += r.Share
		if role == config.RolePrefill {
			work += r.Share * (r.PromptTokens + s.PrefixTokens/4) / s.Engine.PrefillRate
		} else {
			work += r.Share * r.AnswerTokens * s.Engine.TokenTime.Seconds() * (1 + s.Engine.BatchSlowdown)
		}
	}
	return float64(slots) * totalShare / work
}
