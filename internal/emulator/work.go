package emulator

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"sandcourse/internal/config"
	"sandcourse/internal/protocol/chat"
	"sandcourse/internal/protocol/engineapi"
	"sandcourse/internal/router"
)

const (
	prefillOverhead    = 2 * time.Millisecond
	reservationTimeout = 8 * time.Second // time after which a reservation expires at its engine
	maxStreamPause     = time.Second     // maximum time between two events of a stream
)

// tokenEvent is a stream event that carries a token.
var tokenEvent = []byte(`{"choices":[]}`)

// accept queues or rejects an attempt that has arrived.
func (e *engine) accept(r *engineRequest) {
	e.recordAttempt()
	if !e.isUp {
		return
	}
	r.incarnation = e.incarnation
	switch {
	case e.isDraining:
		e.reject(r, http.StatusServiceUnavailable, engineapi.RejectedDraining)
	case r.decode != (e.role == config.RoleDecode):
		e.reject(r, http.StatusConflict, engineapi.RejectedRole)
	case len(e.queue) >= e.emulation.scenario.Engine.QueueLimit:
		e.reject(r, http.StatusTooManyRequests, engineapi.RejectedFull)
	default:
		if !r.decode {
			e.queuedPrefillTokens += r.clientRequest.promptTokens
		}
		e.queue = append(e.queue, r)
		e.startQueued()
	}
}

// reject sends the response to an attempt that the engine does not run.
func (e *engine) reject(r *engineRequest, status int, reason string) {
	h := e.loadReport()
	h.Set(engineapi.HeaderRejected, reason)
	e.respond(r.incarnation, func() { r.complete(responseHead(status, h), nil) })
}

// startQueued starts queued attempts in order while slots and memory are free.
func (e *engine) startQueued() {
	for e.isUp && !e.isUnresponsive && e.busySlots < e.slots() && len(e.queue) > 0 {
		r := e.queue[0]
		if r.decode && e.usedTokens > 0 && e.usedTokens+r.memoryTokens() > e.emulation.scenario.Engine.MemoryTokens {
			return
		}
		e.queue = e.queue[1:]
		if r.finished {
			if !r.decode {
				e.queuedPrefillTokens -= r.clientRequest.promptTokens
			}
			continue
		}
		e.busySlots++
		if r.decode {
			e.decode(r)
		} else {
			e.prefill(r)
		}
	}
	if e.isUnresponsive && len(e.queue) > 0 {
		incarnation := e.incarnation
		e.delayedActions = append(e.delayedActions, func() {
			if e.incarnation == incarnation {
				e.startQueued()
			}
		})
	}
}

// memoryTokens returns the memory that a decode occupies.
func (r *engineRequest) memoryTokens() float64 {
	return r.clientRequest.promptTokens + r.clientRequest.answerTokens
}

// reservationKey returns the key of the reservation of a prefill.
func (r *engineRequest) reservationKey() string { return r.requestID + "/" + r.attempt }

// prefill computes the tokens of a prompt that are not cached, and then makes a reservation.
func (e *engine) prefill(r *engineRequest) {
	em, request := e.emulation, r.clientRequest
	cached := e.cachedTokens(request)
	duration := time.Duration((request.promptTokens - cached) / (em.scenario.Engine.PrefillRate * e.speed()) * 1e9)
	em.scheduleAfter(duration+prefillOverhead, func() {
		e.respond(r.incarnation, func() {
			e.busySlots--
			e.queuedPrefillTokens -= request.promptTokens
			defer e.startQueued()
			if r.finished && r.connection.closed { // A running prefill completes even if the router has closed its connection.
				e.reserve(r)
				return
			}
			em.recorder.result.PrefillTokens += request.promptTokens - cached
			em.recorder.result.CachedTokens += cached
			request.prefilledTokens += request.promptTokens - cached
			e.cachePrompt(request)
			e.reserve(r)
			r.complete(responseHead(http.StatusOK, e.loadReport()), e.prefillResponse(r, cached))
		})
	})
}

// cachedTokens returns the number of tokens of a prompt that are cached.
func (e *engine) cachedTokens(r *clientRequest) (cached float64) {
	if e.prefixCache[r.session.prefix] > 0 {
		cached = e.emulation.scenario.PrefixTokens
	}
	if tokens := e.prefixCache[r.session.name]; tokens > 0 {
		cached = max(cached, min(tokens, r.promptTokens))
	}
	return cached
}

func (e *engine) cachePrompt(r *clientRequest) {
	e.prefixCache[r.session.prefix], e.prefixCache[r.session.name] = e.emulation.scenario.PrefixTokens, r.promptTokens
	if len(e.prefixCache) > maxCachedPrefixes {
		clear(e.prefixCache)
	}
}

func (e *engine) prefillResponse(r *engineRequest, cached float64) []byte {
	host, port, _ := strings.Cut(e.name, ":")
	return fmt.Appendf(nil, `{"usage":{"prompt_tokens_details":{"cached_tokens":%d}},"kv_transfer_params":{"do_remote_prefill":true,`+
		`"remote_engine_id":%q,"remote_host":%q,"remote_port":%s}}`, int(cached), r.reservationKey(), host, port)
}

// reserve holds the result of a prefill until it is fetched or released, or expires.
func (e *engine) reserve(r *engineRequest) {
	key := r.reservationKey()
	e.reservations[key] = r.clientRequest.promptTokens
	incarnation := e.incarnation
	e.emulation.scheduleAfter(reservationTimeout, func() {
		if e.incarnation == incarnation {
			delete(e.reservations, key)
		}
	})
}

// decode fetches the reservation of an attempt and streams the answer.
func (e *engine) decode(r *engineRequest) {
	e.usedTokens += r.memoryTokens()
	incarnation := e.incarnation
	finish := func() {
		if e.incarnation == incarnation {
			e.busySlots--
			e.usedTokens -= r.memoryTokens()
			e.startQueued()
		}
	}
	tokens, ok := 0.0, false
	if r.prefillEngine != nil && r.prefillEngine.isUp {
		tokens, ok = r.prefillEngine.reservations[r.reservation]
	}
	if !ok {
		h := e.loadReport()
		h.Set(engineapi.HeaderRejected, engineapi.RejectedNoReservation)
		e.respond(incarnation, func() { r.complete(responseHead(http.StatusConflict, h), nil); finish() })
		return
	}
	e.emulation.scheduleAfter(time.Duration(tokens/e.emulation.scenario.Engine.TransferRate*1e9), func() {
		if e.incarnation != incarnation {
			return
		}
		delete(r.prefillEngine.reservations, r.reservation)
		if r.finished {
			finish()
			return
		}
		e.streamTokens(r, 0, finish)
	})
}

// streamTokens streams an answer in parts: the first token, then the tokens of each maxStreamPause, at least one.
func (e *engine) streamTokens(r *engineRequest, sent int, finish func()) {
	model, answerTokens := e.emulation.scenario.Engine, int(r.clientRequest.answerTokens)
	slowdown := model.BatchSlowdown * float64(e.busySlots) / float64(e.slots())
	tokenTime := time.Duration(float64(model.TokenTime) * (1 + slowdown) / e.speed())
	remaining := answerTokens - sent
	if sent == 0 {
		remaining = 1
	}
	partTokens := max(1, min(remaining, int(maxStreamPause/max(tokenTime, 1))))
	e.emulation.scheduleAfter(time.Duration(partTokens)*tokenTime, func() {
		e.respond(r.incarnation, func() {
			if r.finished {
				finish()
				return
			}
			if sent == 0 {
				e.startStream(r)
			}
			r.sendToRouter(func(core *router.Router) { core.StreamEvent(r.connection.engineConnection, tokenEvent) })
			if sent += partTokens; sent < answerTokens {
				e.streamTokens(r, sent, finish)
				return
			}
			r.completeStream()
			finish()
		})
	})
}

// startStream sends the head of a stream. From this time on the request has run.
func (e *engine) startStream(r *engineRequest) {
	request := r.clientRequest
	request.runCount++
	if request.runCount == 2 && request.route().Effect == config.EffectNonRetriable {
		e.emulation.recorder.result.RanTwice++
	}
	h := e.loadReport()
	h.Set("Content-Type", "text/event-stream")
	r.sendToRouter(func(core *router.Router) {
		core.ResponseHead(r.connection.engineConnection, responseHead(http.StatusOK, h), nil)
	})
}

// completeStream sends the last event of a stream, unless the router has closed the connection.
func (r *engineRequest) completeStream() {
	if r.finished {
		return
	}
	c := r.connection
	r.finished, c.request = true, nil
	r.sendToRouter(func(core *router.Router) {
		core.StreamEvent(c.engineConnection, []byte(chat.Done))
		if !c.closed {
			core.ResponseComplete(c.engineConnection, nil, true)
		}
	})
}

func (r *engineRequest) sendToRouter(event func(core *router.Router)) {
	r.connection.router.handle(event)
}
