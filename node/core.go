package node

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"net/http"
	"runtime/debug"
	"slices"
	"time"

	"sandcourse/attempt"
	"sandcourse/brain"
	"sandcourse/conns"
	"sandcourse/dialect"
	"sandcourse/hold"
	"sandcourse/limits"
	"sandcourse/roster"
	"sandcourse/settings"
)

// Core is the state of one node: the module, its timers and all that is open. It is not safe for concurrent
// use.
type Core struct {
	d     *settings.Deployment
	seed  uint64
	epoch int64 // names of inferences differ between lives of a node
	wire  Wire
	watch Watch
	now   int64
	// speaks is how clients and engines are met; it may keep nothing of its own that changes.
	speaks dialect.Dialect

	brain  *brain.Brain
	lives  uint64 // of the module: a panic begins a new one
	inputs []brain.Input
	busy   bool // inputs are being handed over
	timers timers
	armed  int64

	list   *roster.List
	told   attempt.Told
	listed []string // all engines ever listed
	// answeredAt is when an engine's last answer began.
	answeredAt map[string]int64
	names      names // of inferences, where clients give them
	gate       *limits.Gate
	again      *limits.Retries
	pool       *conns.Pool

	clients  map[int64]*Client
	partings map[int64]int64
	dirty    []*Client
	lines    map[int64]*Line
	errands  map[*errand]bool
	holds    *hold.Table
	infs     map[int64]*open
	nextInf  int64
	took     uint64 // rows of attempt's table taken so far, a bit each, from bit 1
	// answeredNow are those that got their final answer while the present input is carried out.
	answeredNow []*open
	stopping    bool
	stopAt      int64 // when it was told to stop
	gone        bool  // it has left its clients since
	heardAt     int64 // when another node was last heard
	swept       int64
	eventsSince int64 // events that are handed over now happened after this; 0 where that is not known
}

// open is one inference from its arrival until its final answer is out and none of its sends is.
type open struct {
	id       int64
	name     string
	client   *Client
	asked    *Asked
	route    int
	at       int64
	giveUpAt int64
	sends    []*send
	transfer dialect.State
	whole    dialect.Collector // where the client wants one answer
	began    bool
	firstAt  int64
	cutUntil int64  // until when an attempt that was given up may still act at its engine; 0 where none was
	tokens   int    // passed on by the core; relays count theirs
	final    string // completed, shed, errored or left; empty while none is given
}

// send is one send of an inference.
type send struct {
	inf       *open
	n         int
	engine    string
	writes    bool
	at        int64
	wroteAt   int64 // when its request was written; 0 while it is not
	machine   attempt.Send
	line      *Line
	heads     int
	token     []byte
	lastToken int64
	relay     Relay // of its stream, if it has one
	kept      float64
	transfer  dialect.State
	report    map[string]float64
	verdict   brain.Verdict
	ended     bool
	stale     bool // its line had been given up by the other side before it was written to
	why       string
}

// The final answers, and leaving without one.
const (
	completed = "completed"
	shed      = "shed"
	errored   = "errored"
	left      = "left"
)

// timer is the module's.
type timer struct {
	at, turn int64
	token    int64
	lives    uint64 // of the module that set it; an older one's timers are of no effect
}

// timers is a heap; those that fall due together go in the order in which they were set.
type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(t[i].at, t[j].at), cmp.Compare(t[i].turn, t[j].turn)) < 0
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	x := old[len(old)-1]
	old[len(old)-1] = timer{}
	*t = old[:len(old)-1]
	return x
}

// New makes the core of a node that starts at now. Epoch must differ between lives of a node.
func New(d *settings.Deployment, speaks dialect.Dialect, seed uint64, epoch, now int64, wire Wire,
	watch Watch) *Core {
	o := &Core{d: d, speaks: speaks, seed: seed, epoch: epoch, wire: wire, watch: watch, now: now, told: attempt.Told{},
		gate: limits.New(d.Limits), again: limits.NewRetries(d.Limits.Retries), pool: conns.New(conns.Bounds{PerEngine: d.Lines.PerEngine,
			Dials: d.Lines.Dials, All: d.Lines.All, IdleNs: int64(d.Lines.Idle), SettleNs: int64(d.Lines.Settle)}),
		clients: map[int64]*Client{}, partings: map[int64]int64{}, lines: map[int64]*Line{},
		errands: map[*errand]bool{}, holds: hold.New(hold.BoundsFor(d.Rules.Pin, speaks.ReleasesAnywhere(),
			holdsAnOpenCall*d.Limits.Open)), infs: map[int64]*open{}, answeredAt: map[string]int64{}}
	o.brain = brain.New(seed, d.Facts())
	return o
}

// after sets a timer.
func (o *Core) after(in int64, t timer) {
	o.armed++
	t.at, t.turn = o.now+in, o.armed
	heap.Push(&o.timers, t)
}

func (o *Core) due(t timer) {
	if t.lives == o.lives {
		o.tell(brain.TimerDue{Token: t.token})
	}
}

// How often what has no timer of its own is looked through: stalled streams, slow clients, old connections.
const sweepEvery = int64(25 * time.Millisecond)

func (o *Core) sweep() {
	o.leave()
	o.handOver()
	o.sweepLines()
	o.closeParting()
	for _, due := range o.gate.Due(o.now) {
		o.endOverdue(o.clients[due.ID], due.State)
	}
	for _, id := range o.ids() {
		inf := o.infs[id]
		for _, s := range inf.sends {
			if s.ended {
				continue
			}
			idle := o.now - max(s.at, s.lastToken)
			if s.relay != nil {
				idle = min(idle, o.now-s.relay.Last())
			}
			if attempt.Stalled(s.machine.State, idle, int64(o.d.Stall)) {
				o.happen(s, attempt.Silent, "no token for "+time.Duration(idle).String())
			}
		}
	}
}

// endOverdue ends a connection whose time in its state is up.
func (o *Core) endOverdue(c *Client, state limits.State) {
	switch state {
	case limits.Idle:
		if !o.tryClose(c) {
			return // a request has come in this moment
		}
	case limits.Heading, limits.Bodying:
		o.reply(c, nil, o.speaks.Refusal(http.StatusRequestTimeout, "too_slow", "",
			"the request did not come in time"))
	default:
		o.closeClient(c)
	}
	o.watch.Refused("slow or idle")
}

func (o *Core) ids() []int64 {
	ids := make([]int64, 0, len(o.infs))
	for id := range o.infs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// ---- the module

// tell hands an input to the module and carries out what it decides. Effects may make further inputs, which
// wait their turn.
func (o *Core) tell(in brain.Input) {
	o.inputs = append(o.inputs, in)
	if o.busy {
		return
	}
	o.busy = true
	for len(o.inputs) > 0 {
		in := o.inputs[0]
		o.inputs = o.inputs[1:]
		effects, ok := o.step(in)
		if !ok {
			o.inputs = nil
			o.renew()
			continue
		}
		for _, e := range effects {
			o.carryOut(e)
		}
		// Not before all effects are carried out: letting go comes after the answer.
		for _, inf := range o.answeredNow {
			o.forget(inf)
		}
		o.answeredNow = o.answeredNow[:0]
	}
	o.inputs, o.busy = nil, false
}

// step is the only place that calls the module. A panic there must not take the node's inferences with it.
func (o *Core) step(in brain.Input) (effects []brain.Effect, ok bool) {
	defer func() {
		if p := recover(); p != nil {
			o.watch.ModuleFailed(p, in, debug.Stack())
			effects, ok = nil, false
		}
	}()
	o.watch.Around(in, func() { effects = o.brain.Step(o.now, in) })
	return effects, true
}

// renew answers all that is open, since the old module's view of it is lost, and starts a fresh one from the
// list at hand. What was out may have run, so the answers promise nothing.
func (o *Core) renew() {
	o.lives++
	o.brain = brain.New(o.seed+o.lives, o.d.Facts())
	if o.list != nil { // before the calls that wait behind those answered now
		news, _ := o.d.News(*o.list)
		o.inputs = append(o.inputs, news)
	}
	for _, id := range o.ids() {
		inf := o.infs[id]
		o.finish(inf, errored, "the router failed inside")
		for _, s := range inf.sends {
			if !s.ended {
				s.ended = true
				o.noteOutcome(s, attempt.WithdrawnBy, attempt.Result{Verdict: brain.Withdrawn, Leaves: true})
				if s.line != nil && s.line.send == s {
					s.line.send = nil
					o.spoil(s.line)
				}
			}
		}
		o.letGo(inf)
		delete(o.infs, id)
	}
}

func (o *Core) carryOut(e brain.Effect) {
	switch e := e.(type) {
	case brain.Send:
		o.send(e)
	case brain.Shed:
		if inf := o.infs[e.Inf]; inf != nil {
			o.finishShed(inf, e.ComeBack)
		}
	case brain.Fail:
		if inf := o.infs[e.Inf]; inf != nil {
			why := "the answer could not be given"
			if o.timeUp(inf) {
				why = "time is up"
			}
			o.finish(inf, errored, why)
		}
	case brain.Withdraw:
		if inf := o.infs[e.Inf]; inf != nil && e.Send < len(inf.sends) {
			o.happen(inf.sends[e.Send], attempt.WithdrawnBy, "withdrawn")
		}
	case brain.Discard:
		if inf := o.infs[e.Inf]; inf != nil {
			o.letGo(inf)
		}
	case brain.ArmTimer:
		o.after(e.In, timer{token: e.Token, lives: o.lives})
	case brain.Probe:
		o.run(&errand{engine: e.Engine})
	case brain.Tell:
		o.wire.Tell(e.To, e.Text)
	}
}

// ---- the way of an inference

// arrive takes a call, or refuses it before the module hears of it.
func (o *Core) arrive(c *Client, a *Asked) {
	d := o.d
	route := d.Route(a.Call.Route)
	if route < 0 {
		o.reply(c, a, o.speaks.Refusal(http.StatusNotFound, "model_not_found", "model",
			fmt.Sprintf("there is no model route %q", a.Call.Route)))
		return
	}
	if !a.Request.ProtoAtLeast(1, 1) {
		o.reply(c, a, o.speaks.Refusal(http.StatusHTTPVersionNotSupported, "bad_protocol", "",
			"calls are taken over HTTP/1.1"))
		return
	}
	if a.Call.Name != "" && !o.names.take(a.Call.Name) {
		o.reply(c, a, o.speaks.Refusal(http.StatusConflict, "known", "", "an inference has this name already"))
		return
	}
	if !o.taking() {
		o.shedCall(c, a, http.StatusServiceUnavailable, "this node is stopping", 0)
		return
	}
	if a.excess {
		o.watch.Refused("pipelined")
		o.shedCall(c, a, http.StatusServiceUnavailable, "too many requests wait on this connection", d.RetryAfter)
		return
	}
	if !o.again.Take(o.now, a.Call.Retried) {
		o.shedCall(c, a, http.StatusServiceUnavailable, "more calls are repeated than this node takes", d.RetryAfter)
		return
	}
	switch o.gate.Admit(c.ID, a.Party) {
	case limits.OwnShare:
		o.shedCall(c, a, http.StatusTooManyRequests, "you have your share of this node open already", d.RetryAfter)
		return
	case limits.NodeFull, limits.BytesFull:
		o.shedCall(c, a, http.StatusServiceUnavailable, "this node holds all that it may", d.RetryAfter)
		return
	}
	o.nextInf++
	inf := &open{id: o.nextInf, name: cmp.Or(a.Call.Name, fmt.Sprintf("%s-%x-%d", d.Node, o.epoch, o.nextInf)),
		client: c, asked: a, route: route, at: o.now}
	patience := d.Routes[route].Timeout
	if a.Call.GiveUp > 0 {
		patience = min(patience, a.Call.GiveUp)
	}
	inf.giveUpAt = o.now + int64(patience)
	inf.whole = o.speaks.Collect(a.Call)
	c.current = inf
	o.infs[inf.id] = inf
	session := a.Call.Session
	if session == "" {
		session = inf.name // one of its own: the module must not take strangers for one session
	}
	o.tell(brain.Arrival{Inf: inf.id, Route: route, Session: session, Prefix: a.Call.Beginning,
		GiveUpAt: inf.giveUpAt, Prompt: float64(a.Call.Prompt), PrefixTokens: float64(a.Call.BeginningLen),
		MaxAnswer: float64(a.Call.MaxAnswer), Repeat: a.Call.Repeat, Resumed: a.Call.Resumed})
	o.forget(inf)
}

// shedCall refuses a call that was never an inference. One that asks for the rest of a stream has run before, under
// another name, so where it may not run twice a refusal, which says that a further try is harmless, would be untrue.
func (o *Core) shedCall(c *Client, a *Asked, status int, why string, again time.Duration) {
	o.watch.Shed(a.Call.Route, a.Call.Prompt)
	if a.Call.Resumed && o.d.Routes[o.d.Route(a.Call.Route)].Effect != "retriable" {
		o.reply(c, a, o.speaks.Errored("", why, false))
		return
	}
	o.reply(c, a, o.speaks.Shed(status, "", why, again))
}

func (o *Core) send(e brain.Send) {
	inf := o.infs[e.Inf]
	if inf == nil {
		return
	}
	s := &send{inf: inf, n: len(inf.sends), engine: e.Engine, writes: !o.reads(e.Engine, inf), at: o.now}
	inf.sends = append(inf.sends, s)
	if inf.client.Socket.Gone() {
		o.ClientGone(inf.client)
	}
	// The gate of rule 1: nothing goes out for what has its final answer.
	if inf.final != "" {
		o.happen(s, attempt.NoLine, "it has its final answer")
		return
	}
	atMost := int64(o.d.Lines.Idle)
	if s.writes && o.d.Routes[inf.route].Effect != "retriable" {
		atMost = int64(o.d.Lines.IdleUnsafe)
	}
	if !o.carry(e.Engine, s, nil, atMost) {
		// The node's own bound says nothing of the engine.
		o.happen(s, attempt.Barred, "no line to it may be opened")
	}
}

// mayRepeat is whether all earlier sends of an inference that may have run are still known to engines, where that is
// what keeps a further one from happening twice.
func (o *Core) mayRepeat(s *send) bool {
	route := o.d.Routes[s.inf.route]
	return route.Effect != "deduped" || !slices.ContainsFunc(s.inf.sends, func(before *send) bool {
		mayHaveRun := before.writes && before.wroteAt > 0 && !(before.ended && attempt.NeverRan(before.verdict))
		return before != s && mayHaveRun && !attempt.MayRepeat(o.now, before.wroteAt, int64(route.DedupWindow))
	})
}

// request is what a line is to carry. It is made as it is written: what it says of the client's time must not
// count the time that the line took to come up.
func (o *Core) request(l *Line) ([]byte, error) {
	to := o.reach(l.Engine)
	if e := l.errand; e != nil {
		if e.hold != nil {
			return o.speaks.Release(to, e.hold.ID.Request, e.hold.ID.Attempt), nil
		}
		return o.speaks.Probe(to), nil
	}
	s := l.send
	inf, left := s.inf, time.Duration(s.inf.giveUpAt-o.now)
	if s.writes {
		return o.speaks.Write(inf.asked.Call, inf.name, to, inf.transfer, left)
	}
	return o.speaks.Read(inf.asked.Call, inf.name, to, s.n, left)
}

// reads is whether a send to an engine asks for a read: by its kind, or, where an engine of both roles does not
// answer what it is asked to read, by whether a state is at hand.
func (o *Core) reads(engineID string, inf *open) bool {
	switch o.d.Role(o.entry(engineID).Kind) {
	case "read":
		return true
	case "write":
		return false
	}
	return inf.transfer == nil && !o.speaks.MixedAnswers()
}

// entry is what the list says of an engine; nothing of one that is not in it.
func (o *Core) entry(engineID string) roster.Entry {
	if o.list != nil {
		for _, e := range o.list.Engines {
			if e.Engine == engineID {
				return e
			}
		}
	}
	return roster.Entry{}
}

// reach is how an engine is reached from this node: by its id, unless the list says another place.
func (o *Core) reach(engineID string) dialect.Engine {
	e := o.entry(engineID)
	return dialect.Engine{Host: cmp.Or(e.Host, engineID), Epoch: e.Epoch}
}

// happen is where all socket events of a send end up: its machine judges them, and the outcome, if there is
// one, goes to the module.
func (o *Core) happen(s *send, in attempt.Input, why string) {
	if s.ended {
		return
	}
	inf := s.inf
	// The kernel may have taken the rest of a request since the last event; a send that is withdrawn or breaks
	// then may have run, though its machine still thinks that a part of it is here.
	if l := s.line; l != nil && l.send == s && l.socket != nil && s.machine.State == attempt.Writing {
		if in == attempt.WithdrawnBy {
			l.socket.Close() // before the look: nothing more can leave behind it
		}
		if l.socket.Written() {
			o.took |= 1 << s.machine.Happen(attempt.Written).Row
		}
	}
	r := s.machine.Happen(in)
	o.took |= 1 << r.Row
	if in == attempt.Token && s.machine.State == attempt.Flowing {
		o.token(s, r.First)
		return
	}
	if !r.Ends {
		return
	}
	s.ended, s.verdict, s.why = true, r.Verdict, why
	if l := s.line; l != nil && l.send == s {
		l.send = nil
		switch {
		case r.Line == attempt.Close:
			o.spoil(l)
		case in == attempt.Barred:
			o.pool.Happen(l.ID, conns.Released, o.now)
		default:
			l.restSince = o.now
		}
	}
	note := 0.0
	if r.Verdict == brain.ReadDone {
		note, inf.transfer = s.kept, s.transfer
	}
	o.noteOutcome(s, in, r)
	if r.Gone {
		// The writer could not fetch it. Its reader may still hold it, unheard, and nobody will ask for it again.
		note = 1
		o.letGo(inf)
	}
	if s.machine.Began {
		if r.Verdict == brain.Completed {
			o.finish(inf, completed, "")
		} else {
			o.finish(inf, errored, "the stream broke: "+why)
		}
	} else if r.Verdict == brain.Completed {
		o.finish(inf, completed, "") // an answer without a token
	}
	o.tell(brain.Outcome{Inf: inf.id, Send: s.n, Engine: s.engine, Verdict: r.Verdict, Lag: o.now - s.at,
		Ended: inf.final != "", Note: note, Report: s.report, Stale: s.stale})
	// What came after the end is let go of here too: a read whose inference nobody waits for.
	if inf.final != "" {
		o.letGo(inf)
	}
	o.forget(inf)
}

// token passes one on, and tells the module of the first.
func (o *Core) token(s *send, first bool) {
	inf := s.inf
	if first {
		inf.began, inf.firstAt = true, o.now
		o.changeHolds(inf, hold.Taken)
		if inf.whole == nil && inf.final == "" {
			o.write(inf.client, o.speaks.Open(inf.name))
		}
		o.watch.First(o.d.Routes[inf.route].Name, time.Duration(o.now-inf.at), inf.asked.Call.Prompt)
		o.tell(brain.FirstToken{Inf: inf.id, Send: s.n, Engine: s.engine, Lag: o.now - s.at})
	}
	inf.tokens++
	if inf.whole == nil && inf.final == "" {
		o.write(inf.client, o.speaks.Event(s.token))
	}
	s.token = nil
}

// end is the one gate of how an inference ends: the first call counts, and no token passes after it.
func (o *Core) end(inf *open, final, why string) bool {
	if inf.final != "" {
		return false
	}
	inf.final = final
	for _, s := range inf.sends {
		if s.relay != nil {
			s.relay.Close()
		}
	}
	o.answeredNow = append(o.answeredNow, inf)
	o.gate.Done(inf.client.ID, inf.asked.Party)
	o.log(inf, why)
	return true
}

// timeUp is whether an inference's client is about to give up, or has.
func (o *Core) timeUp(inf *open) bool { return o.now >= inf.giveUpAt-4*int64(o.d.Tick) }

// finish gives the final answer, other than shed, of an inference that the module has taken.
func (o *Core) finish(inf *open, final, why string) {
	c := inf.client
	if !o.end(inf, final, why) || c.gone {
		return
	}
	switch {
	case final == completed && inf.whole != nil:
		o.reply(c, inf.asked, o.speaks.Whole(inf.asked.Call, inf.name, inf.whole))
	case inf.began && inf.whole == nil, final == completed:
		if !inf.began { // an answer without a token
			o.write(c, o.speaks.Open(inf.name))
		}
		last, keep := o.speaks.Close(final == completed, why)
		o.write(c, last)
		if !keep {
			o.cut(c)
			return
		}
		o.answered(c, inf.asked, !inf.asked.Request.Close)
	default:
		o.reply(c, inf.asked, o.speaks.Errored(inf.name, why, o.timeUp(inf)))
	}
}

func (o *Core) finishShed(inf *open, again int64) {
	if inf.began { // the module never sheds a stream; if it did, a refusal could not be said any more
		o.finish(inf, errored, "the stream was given up")
		return
	}
	if c := inf.client; o.end(inf, shed, "") && !c.gone {
		o.reply(c, inf.asked, o.speaks.Shed(http.StatusServiceUnavailable, inf.name, "it would not be answered in time",
			time.Duration(again)))
	}
}

// clientLeft ends an inference that nobody waits for.
func (o *Core) clientLeft(inf *open) {
	o.end(inf, left, "")
	o.tell(brain.ClientGone{Inf: inf.id})
	for _, s := range inf.sends {
		if !s.ended { // the module does not withdraw streams; one that nobody reads ends by its connection
			o.happen(s, attempt.WithdrawnBy, "its client left")
		}
	}
	o.letGo(inf)
	o.forget(inf)
}

// forget drops an inference that has its final answer and nothing out.
func (o *Core) forget(inf *open) {
	if inf.final == "" {
		return
	}
	for _, s := range inf.sends {
		if !s.ended {
			return
		}
	}
	delete(o.infs, inf.id)
}

func (o *Core) log(inf *open, why string) {
	f := Final{Inference: inf.name, Route: o.d.Routes[inf.route].Name, Session: inf.asked.Call.Session, Final: inf.final,
		Took: time.Duration(o.now - inf.at), Prompt: inf.asked.Call.Prompt, Why: why}
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

var verdictNames = map[brain.Verdict]string{brain.Completed: "completed", brain.EngineError: "engine error",
	brain.Full: "full", brain.TimedOut: "timed out", brain.NotConnected: "not connected",
	brain.ConnectionLost: "connection lost", brain.Withdrawn: "withdrawn", brain.NotSent: "not sent",
	brain.ReadDone: "read"}

// ---- engines come and go

// departed is for how long an engine is remembered that has left the list. A minute: several times what a
// connection may need to come up, after which nothing is written to it.
const departed = int64(time.Minute)

// TakeList takes a list of engines, which replaces the one before.
func (o *Core) TakeList(list roster.List) {
	news, unknown := o.d.News(list)
	ready := map[string]bool{}
	for _, e := range news.Engines {
		ready[e.Engine] = e.Ready
		if !slices.Contains(o.listed, e.Engine) {
			o.listed = append(o.listed, e.Engine)
		}
	}
	o.told.HearAll(ready, o.listed, o.now)
	o.listed = slices.DeleteFunc(o.listed, func(engine string) bool {
		_, listed := ready[engine]
		gone := !listed && o.now-o.told[engine] > departed
		if gone {
			delete(o.told, engine)
		}
		return gone
	})
	maps.DeleteFunc(o.answeredAt, func(engine string, at int64) bool {
		_, listed := ready[engine]
		return !listed && o.now-at > departed
	})
	o.list = &list
	o.watch.Listed(list.Revision, len(news.Engines), unknown)
	o.tell(news)
}

func (o *Core) unready() string {
	switch {
	case o.stopping:
		return "this node is stopping"
	case o.list == nil:
		return "no list of engines has come yet"
	case len(o.list.Engines) == 0:
		return "the list of engines is empty"
	}
	return ""
}

// Heard takes a text of another node.
func (o *Core) Heard(from int, text string) {
	o.heardAt = o.now
	o.tell(brain.PeerMessage{From: from, Text: text})
}
