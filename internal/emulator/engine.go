package emulator

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"sandcourse/internal/protocol/engineapi"
	"sandcourse/internal/router"
)

// engine is one engine.
type engine struct {
	emulation    *emulation
	name         string
	role         string
	up           bool
	unlisted     bool // not listed
	draining     bool
	unresponsive bool
	slowdown     float64
	incarnation  int
	coldSince    int64 // of this life if it counts as cold, else 0

	busySlots           int
	queue               []*engineRequest
	delayed             []func() // what waits while it is silent
	usedTokens          float64
	queuedPrefillTokens float64
	reservations        map[string]float64 // tokens, by inference and send
	cached              map[string]float64
	recentAttempts      []int64
	connections         map[*connection]bool
}

// engineRequest is one request that the engine has taken.
type engineRequest struct {
	connection    *connection
	clientRequest *clientRequest
	requestID     string // of the inference
	attempt       string
	reservation   string // to fetch
	prefillEngine *engine
	decode        bool
	finished      bool
	incarnation   int
}

func (e *engine) slots() int {
	if e.role == "read" {
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

func (e *engine) resume() {
	e.unresponsive = false
	list := e.delayed
	e.delayed = nil
	for _, do := range list {
		do()
	}
}

// respond does something that the engine says now, or once it is not silent any more.
func (e *engine) respond(life int, do func()) {
	if e.incarnation != life || !e.up {
		return
	}
	if e.unresponsive {
		e.delayed = append(e.delayed, func() { e.respond(life, do) })
		return
	}
	do()
}

func (e *engine) loadReport() http.Header {
	h := http.Header{}
	h.Set(engineapi.HeaderMemoryShare, strconv.FormatFloat(e.usedTokens/e.emulation.scenario.Engine.MemoryTokens, 'f', 3, 64))
	h.Set(engineapi.HeaderWaitingTokens, strconv.FormatFloat(e.queuedPrefillTokens/1000, 'f', 3, 64))
	h.Set(engineapi.HeaderOpenRequests, strconv.Itoa(e.busySlots+len(e.queue)+len(e.reservations)))
	return h
}

func responseHead(status int, h http.Header) *http.Response {
	return &http.Response{StatusCode: status, Status: http.StatusText(status), Header: h}
}

// countAttempt counts a send; a cold engine that gets too many falls over. As the stand-ins do, with what it does
// when warm reckoned from its slots and the day's mean work.
func (e *engine) countAttempt() {
	em := e.emulation
	e.recentAttempts = append(e.recentAttempts, em.now)
	for len(e.recentAttempts) > 0 && em.now-e.recentAttempts[0] > int64(time.Second) {
		e.recentAttempts = e.recentAttempts[1:]
	}
	if e.coldSince == 0 || time.Duration(em.now-e.coldSince) >= em.scenario.Engine.WarmUp {
		return
	}
	if float64(len(e.recentAttempts)) > 3*em.warmRate(e.role)*e.speed()+2 {
		em.result.Overloaded++
		e.crash()
	}
}

// warmRate is how many sends a second a warm engine of a role can do of the day's mix.
func (em *emulation) warmRate(role string) float64 {
	work, shares := 0.0, 0.0
	for _, r := range em.scenario.Routes {
		shares += r.Share
		if role == "read" {
			work += r.Share * (r.PromptTokens + em.scenario.PrefixTokens/4) / em.scenario.Engine.PrefillRate
		} else {
			work += r.Share * r.AnswerTokens * em.scenario.Engine.TokenTime.Seconds() * (1 + em.scenario.Engine.BatchSlowdown)
		}
	}
	slots := em.scenario.Engine.PrefillSlots
	if role != "read" {
		slots = em.scenario.Engine.DecodeSlots
	}
	return float64(slots) * shares / work
}

func (e *engine) accept(request *engineRequest) {
	em := e.emulation
	e.countAttempt()
	if !e.up {
		return
	}
	request.incarnation = e.incarnation
	refuse := func(status int, why string) {
		h := e.loadReport()
		h.Set(engineapi.HeaderRejected, why)
		e.respond(request.incarnation, func() { request.complete(responseHead(status, h), nil) })
	}
	switch {
	case e.draining:
		refuse(http.StatusServiceUnavailable, engineapi.RejectedDraining)
	case request.decode != (e.role == "write"):
		refuse(http.StatusConflict, engineapi.RejectedRole)
	case len(e.queue) >= em.scenario.Engine.QueueLimit:
		refuse(http.StatusTooManyRequests, engineapi.RejectedFull)
	default:
		if !request.decode {
			e.queuedPrefillTokens += request.clientRequest.promptTokens
		}
		e.queue = append(e.queue, request)
		e.startQueued()
	}
}

// startQueued begins what waits, in turn, as far as slots and memory reach.
func (e *engine) startQueued() {
	for e.up && !e.unresponsive && e.busySlots < e.slots() && len(e.queue) > 0 {
		request := e.queue[0]
		if request.decode && e.usedTokens > 0 && e.usedTokens+request.clientRequest.promptTokens+request.clientRequest.answerTokens > e.emulation.scenario.Engine.MemoryTokens {
			return
		}
		e.queue = e.queue[1:]
		if request.finished {
			if !request.decode {
				e.queuedPrefillTokens -= request.clientRequest.promptTokens
			}
			continue
		}
		e.busySlots++
		if request.decode {
			e.decode(request)
		} else {
			e.prefill(request)
		}
	}
	if e.unresponsive && len(e.queue) > 0 {
		life := e.incarnation
		e.delayed = append(e.delayed, func() {
			if e.incarnation == life {
				e.startQueued()
			}
		})
	}
}

func (e *engine) prefill(request *engineRequest) {
	em := e.emulation
	kept := 0.0
	if e.cached[request.clientRequest.prefix] > 0 {
		kept = em.scenario.PrefixTokens
	}
	if e.cached[request.clientRequest.session] > 0 {
		kept = max(kept, min(e.cached[request.clientRequest.session], request.clientRequest.promptTokens))
	}
	took := time.Duration((request.clientRequest.promptTokens - kept) / (em.scenario.Engine.PrefillRate * e.speed()) * 1e9)
	em.schedule(took+2*time.Millisecond, func() {
		e.respond(request.incarnation, func() {
			e.busySlots--
			e.queuedPrefillTokens -= request.clientRequest.promptTokens
			defer e.startQueued()
			if request.finished && request.connection.closed { // its node has closed the connection: a read that runs ends, and holds
				e.reserve(request)
				return
			}
			em.result.PrefillTokens += request.clientRequest.promptTokens - kept
			em.result.CachedTokens += kept
			request.clientRequest.prefilledTokens += request.clientRequest.promptTokens - kept
			e.cached[request.clientRequest.prefix], e.cached[request.clientRequest.session] = em.scenario.PrefixTokens, request.clientRequest.promptTokens
			if len(e.cached) > 4000 { // as much as its memory keeps; the oldest would go first, here all go
				clear(e.cached)
			}
			e.reserve(request)
			host, port, _ := strings.Cut(e.name, ":")
			body := fmt.Appendf(nil,
				`{"usage":{"prompt_tokens_details":{"cached_tokens":%d}},"kv_transfer_params":{"do_remote_prefill":true,`+
					`"remote_engine_id":%q,"remote_host":%q,"remote_port":%s}}`, int(kept), request.requestID+"/"+request.attempt,
				host, port)
			request.complete(responseHead(http.StatusOK, e.loadReport()), body)
		})
	})
}

func (e *engine) reserve(request *engineRequest) {
	key := request.requestID + "/" + request.attempt
	e.reservations[key] = request.clientRequest.promptTokens
	life := e.incarnation
	e.emulation.schedule(8*time.Second, func() { // an engine's own time-out
		if e.incarnation == life {
			delete(e.reservations, key)
		}
	})
}

func (e *engine) decode(request *engineRequest) {
	em := e.emulation
	need := request.clientRequest.promptTokens + request.clientRequest.answerTokens
	e.usedTokens += need
	life := e.incarnation
	done := func() {
		if e.incarnation == life {
			e.busySlots--
			e.usedTokens -= need
			e.startQueued()
		}
	}
	tokens, ok := 0.0, false
	if request.prefillEngine != nil && request.prefillEngine.up {
		tokens, ok = request.prefillEngine.reservations[request.reservation]
	}
	if !ok {
		h := e.loadReport()
		h.Set(engineapi.HeaderRejected, engineapi.RejectedNoReservation)
		e.respond(life, func() { request.complete(responseHead(http.StatusConflict, h), nil); done() })
		return
	}
	em.schedule(time.Duration(tokens/em.scenario.Engine.TransferRate*1e9), func() {
		if e.incarnation != life {
			return
		}
		delete(request.prefillEngine.reservations, request.reservation)
		if request.finished {
			done()
			return
		}
		e.streamTokens(request, 0, done)
	})
}

// streamTokens gives an answer in parts: its first token, then some at a time, at least one each second.
func (e *engine) streamTokens(request *engineRequest, given int, done func()) {
	em := e.emulation
	pace := time.Duration(float64(em.scenario.Engine.TokenTime) * (1 +
		em.scenario.Engine.BatchSlowdown*float64(e.busySlots)/float64(e.slots())) / e.speed())
	left := int(request.clientRequest.answerTokens) - given
	if given == 0 {
		left = 1
	}
	part := max(1, min(left, int(time.Second/max(pace, 1))))
	em.schedule(time.Duration(part)*pace, func() {
		e.respond(request.incarnation, func() {
			if request.finished {
				done()
				return
			}
			if given == 0 {
				request.clientRequest.runs++
				if request.clientRequest.runs == 2 && em.scenario.Routes[request.clientRequest.route].Effect == "non-retriable" {
					em.result.RanTwice++
				}
				h := e.loadReport()
				h.Set("Content-Type", "text/event-stream")
				request.connection.router.handle(func(o *router.Router) { o.ResponseHead(request.connection.core, responseHead(http.StatusOK, h), nil) })
			}
			request.connection.router.handle(func(o *router.Router) { o.StreamEvent(request.connection.core, []byte(`{"choices":[]}`)) })
			if given += part; given < int(request.clientRequest.answerTokens) {
				e.streamTokens(request, given, done)
				return
			}
			if !request.finished {
				request.finished, request.connection.request = true, nil
				request.connection.router.handle(func(o *router.Router) {
					o.StreamEvent(request.connection.core, []byte("[DONE]"))
					if !request.connection.closed {
						o.ResponseComplete(request.connection.core, nil, true)
					}
				})
			}
			done()
		})
	})
}

// complete is an answer that is read to its end in one go.
func (r *engineRequest) complete(h *http.Response, body []byte) {
	if r.finished {
		return
	}
	r.finished, r.connection.request = true, nil
	r.connection.router.handle(func(o *router.Router) {
		o.ResponseHead(r.connection.core, h, nil)
		if !r.connection.closed {
			o.ResponseComplete(r.connection.core, body, true)
		}
	})
}
