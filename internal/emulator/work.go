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
	reservationTimeout = 8 * time.Second // after which an engine drops a reservation by itself
	maxStreamPause     = time.Second     // between two events of a stream
)

// tokenEvent is a stream event that carries a token.
var tokenEvent = []byte(`{"choices":[]}`)

// accept handles an attempt that has arrived.
func (e *engine) accept(r *engineRequest) {
	e.countAttempt()
	if !e.up {
		return
	}
	r.incarnation = e.incarnation
	switch {
	case e.draining:
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

// reject answers an attempt that the engine does not run.
func (e *engine) reject(r *engineRequest, status int, reason string) {
	h := e.loadReport()
	h.Set(engineapi.HeaderRejected, reason)
	e.respond(r.incarnation, func() { r.complete(responseHead(status, h), nil) })
}

// startQueued starts queued attempts in order, as far as slots and memory reach.
func (e *engine) startQueued() {
	for e.up && !e.unresponsive && e.busySlots < e.slots() && len(e.queue) > 0 {
		r := e.queue[0]
		if r.decode && e.usedTokens > 0 && e.usedTokens+r.tokens() > e.emulation.scenario.Engine.MemoryTokens {
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
	if e.unresponsive && len(e.queue) > 0 {
		incarnation := e.incarnation
		e.delayed = append(e.delayed, func() {
			if e.incarnation == incarnation {
				e.startQueued()
			}
		})
	}
}

// tokens is the memory that a decode takes.
func (r *engineRequest) tokens() float64 {
	return r.clientRequest.promptTokens + r.clientRequest.answerTokens
}

// reservationKey names the reservation of a prefill.
func (r *engineRequest) reservationKey() string { return r.requestID + "/" + r.attempt }

// prefill computes what is not cached of a prompt, and then holds a reservation.
func (e *engine) prefill(r *engineRequest) {
	em, client := e.emulation, r.clientRequest
	cached := e.cachedTokens(client)
	took := time.Duration((client.promptTokens - cached) / (em.scenario.Engine.PrefillRate * e.speed()) * 1e9)
	em.after(took+prefillOverhead, func() {
		e.respond(r.incarnation, func() {
			e.busySlots--
			e.queuedPrefillTokens -= client.promptTokens
			defer e.startQueued()
			if r.finished && r.connection.closed { // the router has closed the connection: a prefill that runs completes
				e.reserve(r)
				return
			}
			em.records.result.PrefillTokens += client.promptTokens - cached
			em.records.result.CachedTokens += cached
			client.prefilledTokens += client.promptTokens - cached
			e.cache(client)
			e.reserve(r)
			r.complete(responseHead(http.StatusOK, e.loadReport()), e.prefillResponse(r, cached))
		})
	})
}

// cachedTokens is how much of a prompt is cached.
func (e *engine) cachedTokens(r *clientRequest) (cached float64) {
	if e.cached[r.session.prefix] > 0 {
		cached = e.emulation.scenario.PrefixTokens
	}
	if tokens := e.cached[r.session.name]; tokens > 0 {
		cached = max(cached, min(tokens, r.promptTokens))
	}
	return cached
}

func (e *engine) cache(r *clientRequest) {
	e.cached[r.session.prefix], e.cached[r.session.name] = e.emulation.scenario.PrefixTokens, r.promptTokens
	if len(e.cached) > maxCachedPrefixes {
		clear(e.cached)
	}
}

func (e *engine) prefillResponse(r *engineRequest, cached float64) []byte {
	host, port, _ := strings.Cut(e.name, ":")
	return fmt.Appendf(nil, `{"usage":{"prompt_tokens_details":{"cached_tokens":%d}},"kv_transfer_params":{"do_remote_prefill":true,`+
		`"remote_engine_id":%q,"remote_host":%q,"remote_port":%s}}`, int(cached), r.reservationKey(), host, port)
}

// reserve holds the result of a prefill until it is fetched, released or expired.
func (e *engine) reserve(r *engineRequest) {
	key := r.reservationKey()
	e.reservations[key] = r.clientRequest.promptTokens
	incarnation := e.incarnation
	e.emulation.after(reservationTimeout, func() {
		if e.incarnation == incarnation {
			delete(e.reservations, key)
		}
	})
}

// decode fetches the reservation of an attempt and streams its answer.
func (e *engine) decode(r *engineRequest) {
	e.usedTokens += r.tokens()
	incarnation := e.incarnation
	done := func() {
		if e.incarnation == incarnation {
			e.busySlots--
			e.usedTokens -= r.tokens()
			e.startQueued()
		}
	}
	tokens, ok := 0.0, false
	if r.prefillEngine != nil && r.prefillEngine.up {
		tokens, ok = r.prefillEngine.reservations[r.reservation]
	}
	if !ok {
		h := e.loadReport()
		h.Set(engineapi.HeaderRejected, engineapi.RejectedNoReservation)
		e.respond(incarnation, func() { r.complete(responseHead(http.StatusConflict, h), nil); done() })
		return
	}
	e.emulation.after(time.Duration(tokens/e.emulation.scenario.Engine.TransferRate*1e9), func() {
		if e.incarnation != incarnation {
			return
		}
		delete(r.prefillEngine.reservations, r.reservation)
		if r.finished {
			done()
			return
		}
		e.streamTokens(r, 0, done)
	})
}

// streamTokens streams an answer in parts: its first token, then some at a time, at least one part each second.
func (e *engine) streamTokens(r *engineRequest, sent int, done func()) {
	model, answerTokens := e.emulation.scenario.Engine, int(r.clientRequest.answerTokens)
	slowdown := model.BatchSlowdown * float64(e.busySlots) / float64(e.slots())
	tokenTime := time.Duration(float64(model.TokenTime) * (1 + slowdown) / e.speed())
	left := answerTokens - sent
	if sent == 0 {
		left = 1
	}
	part := max(1, min(left, int(maxStreamPause/max(tokenTime, 1))))
	e.emulation.after(time.Duration(part)*tokenTime, func() {
		e.respond(r.incarnation, func() {
			if r.finished {
				done()
				return
			}
			if sent == 0 {
				e.startStream(r)
			}
			r.toRouter(func(core *router.Router) { core.StreamEvent(r.connection.core, tokenEvent) })
			if sent += part; sent < answerTokens {
				e.streamTokens(r, sent, done)
				return
			}
			r.completeStream()
			done()
		})
	})
}

// startStream sends the head of a stream: from here, the request has run.
func (e *engine) startStream(r *engineRequest) {
	client := r.clientRequest
	client.runs++
	if client.runs == 2 && client.route().Effect == config.EffectNonRetriable {
		e.emulation.records.result.RanTwice++
	}
	h := e.loadReport()
	h.Set("Content-Type", "text/event-stream")
	r.toRouter(func(core *router.Router) { core.ResponseHead(r.connection.core, responseHead(http.StatusOK, h), nil) })
}

// completeStream sends the last event of a stream, unless the router has closed the connection.
func (r *engineRequest) completeStream() {
	if r.finished {
		return
	}
	c := r.connection
	r.finished, c.request = true, nil
	r.toRouter(func(core *router.Router) {
		core.StreamEvent(c.core, []byte(chat.Done))
		if !c.closed {
			core.ResponseComplete(c.core, nil, true)
		}
	})
}

func (r *engineRequest) toRouter(event func(core *router.Router)) { r.connection.router.handle(event) }
