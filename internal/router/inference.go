package router

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"time"

	"sandcourse/internal/admission"
	"sandcourse/internal/attempt"
	"sandcourse/internal/config"
	"sandcourse/internal/invariant"
	"sandcourse/internal/protocol"
	"sandcourse/internal/routing"
)

// inference is one call of a client from its arrival until its final answer is out and none of its sends is.
type inference struct {
	id       int64
	name     string
	client   *Client
	asked    *Asked
	route    int
	at       int64
	giveUpAt int64
	sends    []*send
	transfer protocol.ReservationHandle
	whole    protocol.Collector // where the client wants one answer
	began    bool
	firstAt  int64
	cutUntil int64  // until when an attempt that was given up may still act at its engine; 0 where none was
	tokens   int    // passed on by the core; relays count theirs
	final    string // completed, shed, errored or left; empty while none is given
}

// The final answers, and leaving without one.
const (
	completed = "completed"
	shed      = "shed"
	errored   = "errored"
	left      = "left"
)

// arrive takes a call, or refuses it before the module hears of it.
func (o *Core) arrive(c *Client, a *Asked) {
	d := o.d
	route := d.Route(a.Call.Route)
	if route < 0 {
		o.reply(c, a, o.protocol.InvalidRequestResponse(http.StatusNotFound, "model_not_found", "model",
			fmt.Sprintf("there is no model route %q", a.Call.Route)))
		return
	}
	if !a.Request.ProtoAtLeast(1, 1) {
		o.reply(c, a, o.protocol.InvalidRequestResponse(http.StatusHTTPVersionNotSupported, "bad_protocol", "",
			"calls are taken over HTTP/1.1"))
		return
	}
	switch why := invariant.MayStart(invariant.Arrival{NameKnown: o.known(a.Call.ID), Taking: o.taking()}); why {
	case invariant.Allowed:
		if a.Call.ID != "" {
			o.names.take(a.Call.ID)
		}
	case invariant.NameKnown:
		o.watch.Refused("name known")
		o.reply(c, a, o.protocol.InvalidRequestResponse(http.StatusConflict, "known", "", string(why)))
		return
	default:
		o.shedCall(c, a, http.StatusServiceUnavailable, string(why), 0)
		return
	}
	if a.excess {
		o.watch.Refused("pipelined")
		o.shedCall(c, a, http.StatusServiceUnavailable, "too many requests wait on this connection", d.MaxRetryAfter)
		return
	}
	if !o.again.Take(o.now, a.Call.Retried) {
		o.shedCall(c, a, http.StatusServiceUnavailable, "more calls are repeated than this node takes", d.MaxRetryAfter)
		return
	}
	switch o.gate.Admit(c.ID, a.Party) {
	case admission.OwnShare:
		o.shedCall(c, a, http.StatusTooManyRequests, "you have your share of this node open already", d.MaxRetryAfter)
		return
	case admission.NodeFull, admission.BytesFull:
		o.shedCall(c, a, http.StatusServiceUnavailable, "this node holds all that it may", d.MaxRetryAfter)
		return
	}
	o.nextInf++
	inf := &inference{id: o.nextInf, name: cmp.Or(a.Call.ID, fmt.Sprintf("%s-%x-%d", d.NodeName, o.epoch, o.nextInf)),
		client: c, asked: a, route: route, at: o.now}
	patience := d.Routes[route].Timeout
	if a.Call.FirstTokenTimeout > 0 {
		patience = min(patience, a.Call.FirstTokenTimeout)
	}
	inf.giveUpAt = o.arrivedAt() + int64(patience)
	inf.whole = o.protocol.NewCollector(a.Call)
	c.current = inf
	o.infs[inf.id], o.byName[inf.name] = inf, inf
	o.monitor.Taken(inf.id, inf.name, inf.effect(d), int64(d.Routes[route].DedupWindow), inf.giveUpAt)
	session := a.Call.Session
	if session == "" {
		session = inf.name // one of its own: the module must not take strangers for one session
	}
	o.tell(routing.RequestArrived{RequestID: inf.id, Route: route, Session: session, Prefix: a.Call.Prefix,
		Deadline: inf.giveUpAt, PromptTokens: float64(a.Call.PromptTokens), PrefixTokens: float64(a.Call.PrefixTokens),
		MaxOutputTokens: float64(a.Call.MaxOutputTokens), ClientRetry: a.Call.Idempotent, Resumed: a.Call.Resumes})
	o.forget(inf)
}

// known is whether a request has this name already: an open one, or one of the last few thousand.
func (o *Core) known(name string) bool { return o.byName[name] != nil || o.names.known(name) }

// effect is what a second run of an inference would do.
func (inf *inference) effect(d *config.Deployment) invariant.Effect {
	return invariant.EffectOf(d.Routes[inf.route].Effect)
}

// lateStart is for how long the owner may not have looked before a request counts from then. Below it the time between
// two looks is that of a node with little to do.
const lateStart = 4 * sweepEvery

// arrivedAt is when the time of a request begins that is handed over now: where the process was not run for a while, the
// request may have waited all that time.
func (o *Core) arrivedAt() int64 {
	if since := o.sinceWhen(); o.now-since > lateStart {
		return since
	}
	return o.now
}

// shedCall refuses a call that was never an inference. One that asks for the rest of a stream has run before, under
// another name, so where it may not run twice a refusal, which says that a further try is harmless, would be untrue.
func (o *Core) shedCall(c *Client, a *Asked, status int, why string, again time.Duration) {
	o.watch.Shed(Shed{Request: a.Call.ID, Route: a.Call.Route, Why: why, Prompt: a.Call.PromptTokens})
	if a.Call.Resumes && o.d.Routes[o.d.Route(a.Call.Route)].Effect != "retriable" {
		o.reply(c, a, o.protocol.ErrorResponse("", why, false))
		return
	}
	o.reply(c, a, o.protocol.ShedResponse(status, "", why, again))
}

// end is the one gate of how an inference ends: the first call counts, and no token passes after it.
func (o *Core) end(inf *inference, final, why string) bool {
	if inf.final != "" {
		return false
	}
	inf.final = final
	for _, s := range inf.sends {
		if s.relay != nil {
			s.relay.Close()
		}
	}
	if final != left {
		o.monitor.Answered(inf.id, o.now)
	}
	o.answeredNow = append(o.answeredNow, inf)
	o.gate.Done(inf.client.ID, inf.asked.Party)
	o.log(inf, why)
	return true
}

// timeUp is whether an inference's client is about to give up, or has.
func (o *Core) timeUp(inf *inference) bool { return o.now >= inf.giveUpAt-4*int64(o.d.TickInterval) }

// finish gives the final answer, other than shed, of an inference that the module has taken.
func (o *Core) finish(inf *inference, final, why string) {
	c := inf.client
	if !o.end(inf, final, why) || c.gone {
		return
	}
	switch {
	case final == completed && inf.whole != nil:
		o.reply(c, inf.asked, o.protocol.CompleteResponse(inf.asked.Call, inf.name, inf.whole))
	case inf.began && inf.whole == nil, final == completed:
		if !inf.began { // an answer without a token
			o.write(c, o.protocol.StreamHead(inf.name))
		}
		last, keep := o.protocol.StreamEnd(final == completed, why)
		o.write(c, last)
		if !keep {
			o.cut(c)
			return
		}
		o.answered(c, inf.asked, !inf.asked.Request.Close)
	default:
		o.reply(c, inf.asked, o.protocol.ErrorResponse(inf.name, why, o.timeUp(inf)))
	}
}

func (o *Core) finishShed(inf *inference, again int64) {
	if inf.began { // the module never sheds a stream; if it did, a refusal could not be said any more
		o.finish(inf, errored, "the stream was given up")
		return
	}
	if c := inf.client; o.end(inf, shed, "") && !c.gone {
		o.reply(c, inf.asked, o.protocol.ShedResponse(http.StatusServiceUnavailable, inf.name, "it would not be answered in time",
			time.Duration(again)))
	}
}

// clientLeft ends an inference that nobody waits for.
func (o *Core) clientLeft(inf *inference) {
	o.end(inf, left, "")
	o.tell(routing.ClientDisconnected{RequestID: inf.id})
	for _, s := range inf.sends {
		if !s.ended { // the module does not withdraw streams; one that nobody reads ends by its connection
			o.happen(s, attempt.WithdrawnBy, "its client left")
		}
	}
	o.letGo(inf)
	if !slices.ContainsFunc(inf.sends, func(s *send) bool { return s.wroteAt > 0 }) {
		o.names.free(inf.name)
	}
	o.forget(inf)
}

// forget drops an inference that has its final answer and nothing out.
func (o *Core) forget(inf *inference) {
	if inf.final == "" {
		return
	}
	for _, s := range inf.sends {
		if !s.ended {
			return
		}
	}
	delete(o.infs, inf.id)
	delete(o.byName, inf.name)
	o.monitor.Forget(inf.id)
}

func (o *Core) log(inf *inference, why string) {
	f := Final{Inference: inf.name, Route: o.d.Routes[inf.route].Name, Session: inf.asked.Call.Session, Final: inf.final,
		Took: time.Duration(o.now - inf.at), Prompt: inf.asked.Call.PromptTokens, Why: why}
	if inf.began {
		f.First = time.Duration(inf.firstAt - inf.at)
	}
	f.Tokens = inf.tokens
	for _, s := range inf.sends {
		verdict := "out"
		if s.ended {
			verdict = verdictNames[s.verdict]
		}
		f.Sends = append(f.Sends, s.engine+" "+verdict)
		if s.relay != nil {
			f.Tokens += s.relay.Passed()
		}
	}
	o.watch.Final(f)
}

var verdictNames = map[routing.Verdict]string{routing.Completed: "completed", routing.EngineError: "engine error",
	routing.Full: "full", routing.TimedOut: "timed out", routing.NotConnected: "not connected",
	routing.ConnectionLost: "connection lost", routing.Canceled: "withdrawn", routing.NotSent: "not sent",
	routing.PrefillDone: "read"}
