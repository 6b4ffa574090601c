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
	// overloadMultiple is how many times what it can do pushes a warming engine over, and overloadSlack how many
	// attempts beyond that do not.
	overloadMultiple = 3
	overloadSlack    = 2
	overloadWindow   = time.Second
	// maxCachedPrefixes is as much as an engine's memory keeps; beyond it, the cache is cleared.
	maxCachedPrefixes = 4000
)

// engine is one engine.
type engine struct {
	emulation    *emulation
	name         string
	role         config.Role
	up           bool
	unlisted     bool
	draining     bool
	unresponsive bool
	slowdown     float64
	incarnation  int
	coldSince    int64 // when it began to warm up, 0 for an engine that started warm

	busySlots           int
	queue               []*engineRequest
	delayed             []func() // until it is responsive again
	usedTokens          float64
	queuedPrefillTokens float64
	reservations        map[string]float64 // tokens, by request and attempt
	cached              map[string]float64 // tokens, by prefix and session
	recentAttempts      []int64
	connections         map[*connection]bool
}

// entry is the engine in the endpoint list.
func (e *engine) entry() endpoint.Entry {
	entry := endpoint.Entry{ID: e.name, Kind: "prefill", Weight: 1, State: endpoint.Ready, StartedAtMs: e.coldSince / 1e6}
	if e.role == config.RoleDecode {
		entry.Kind = "decode"
	}
	if e.draining {
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

// speed is the share of its work that it can do now.
func (e *engine) speed() float64 {
	model, share := e.emulation.scenario.Engine, 1.0
	if since := time.Duration(e.emulation.now - e.coldSince); e.coldSince > 0 && since < model.WarmUp {
		share = model.WarmUpShare + (1-model.WarmUpShare)*float64(since)/float64(model.WarmUp)
	}
	return share / max(1, e.slowdown)
}

// start begins an incarnation. All but the first have to warm up.
func (e *engine) start() {
	e.up, e.unresponsive, e.incarnation = true, false, e.incarnation+1
	e.busySlots, e.queue, e.delayed, e.usedTokens, e.queuedPrefillTokens = 0, nil, nil, 0, 0
	e.reservations, e.cached, e.recentAttempts = map[string]float64{}, map[string]float64{}, nil
	if e.incarnation > 1 {
		e.coldSince = e.emulation.now
	}
}

func (e *engine) crash() {
	if !e.up {
		return
	}
	e.up = false
	clear(e.reservations)
	for _, c := range sortedByID(e.connections) {
		c.resetByEngine()
	}
}

// resume ends a time in which the engine was unresponsive.
func (e *engine) resume() {
	e.unresponsive = false
	delayed := e.delayed
	e.delayed = nil
	for _, run := range delayed {
		run()
	}
}

// respond runs what an incarnation of the engine says: now, or once it is responsive again.
func (e *engine) respond(incarnation int, run func()) {
	if e.incarnation != incarnation || !e.up {
		return
	}
	if e.unresponsive {
		e.delayed = append(e.delayed, func() { e.respond(incarnation, run) })
		return
	}
	run()
}

// loadReport is the headers in which the engine reports its load.
func (e *engine) loadReport() http.Header {
	h := http.Header{}
	h.Set(engineapi.HeaderMemoryShare, strconv.FormatFloat(e.usedTokens/e.emulation.scenario.Engine.MemoryTokens, 'f', 3, 64))
	h.Set(engineapi.HeaderWaitingTokens, strconv.FormatFloat(e.queuedPrefillTokens/1000, 'f', 3, 64))
	h.Set(engineapi.HeaderOpenRequests, strconv.Itoa(e.busySlots+len(e.queue)+len(e.reservations)))
	return h
}

// countAttempt counts an attempt. An engine that gets too many while it warms up crashes, as the fake engines do; what
// it can do when warm is computed from its slots and the mean work of the scenario.
func (e *engine) countAttempt() {
	em := e.emulation
	e.recentAttempts = append(e.recentAttempts, em.now)
	for len(e.recentAttempts) > 0 && em.now-e.recentAttempts[0] > int64(overloadWindow) {
		e.recentAttempts = e.recentAttempts[1:]
	}
	if e.coldSince == 0 || time.Duration(em.now-e.coldSince) >= em.scenario.Engine.WarmUp {
		return
	}
	if float64(len(e.recentAttempts)) > overloadMultiple*em.scenario.warmRate(e.role)*e.speed()+overloadSlack {
		em.records.result.Overloaded++
		e.crash()
	}
}

// warmRate is how many attempts a second a warm engine of a role can do of the scenario's mix.
func (s Scenario) warmRate(role config.Role) float64 {
	work, shares, slots := 0.0, 0.0, s.Engine.PrefillSlots
	if role != config.RolePrefill {
		slots = s.Engine.DecodeSlots
	}
	for _, r := range s.Routes {
		shares += r.Share
		if role == config.RolePrefill {
			work += r.Share * (r.PromptTokens + s.PrefixTokens/4) / s.Engine.PrefillRate
		} else {
			work += r.Share * r.AnswerTokens * s.Engine.TokenTime.Seconds() * (1 + s.Engine.BatchSlowdown)
		}
	}
	return float64(slots) * shares / work
}
