package router

import (
	"cmp"
	"container/heap"
	"net/http"
	"slices"
	"time"

	"sandcourse/internal/admission"
	"sandcourse/internal/attempt"
	"sandcourse/internal/config"
	"sandcourse/internal/connpool"
	"sandcourse/internal/endpoint"
	"sandcourse/internal/invariant"
	"sandcourse/internal/protocol"
	"sandcourse/internal/reservation"
	"sandcourse/internal/routing"
)

// Core is the state of one node: the module, its timers and all that is open. It is not safe for concurrent
// use.
type Core struct {
	d     *config.Deployment
	seed  uint64
	epoch int64 // names of inferences differ between lives of a node
	wire  Wire
	watch Watch
	now   int64
	// protocol is how clients and engines are met; it may keep nothing of its own that changes.
	protocol protocol.Codec

	brain  *routing.Policy
	lives  uint64 // of the module: a panic begins a new one
	inputs []routing.Event
	busy   bool // inputs are being handed over
	timers timers
	armed  int64

	list   *endpoint.List
	starts starts
	lists  lists
	told   attempt.Told
	listed []string // all engines ever listed
	// answeredAt is when an engine's last answer began.
	answeredAt map[string]int64
	names      names // of inferences, where clients give them
	gate       *admission.Gate
	again      *admission.Retries
	pool       *connpool.Pool

	clients  map[int64]*Client
	closing  map[int64]int64
	dirty    []*Client
	lines    map[int64]*Line
	controls map[*controlRequest]bool
	holds    *reservation.Table
	monitor  *invariant.Monitor
	infs     map[int64]*inference
	byName   map[string]*inference // the same, by what engines know them by
	nextInf  int64
	took     uint64 // rows of attempt's table taken so far, a bit each, from bit 1
	// answeredNow are those that got their final answer while the present input is carried out.
	answeredNow []*inference
	stopping    bool
	stopAt      int64 // when it was told to stop
	gone        bool  // it has left its clients since
	heardAt     int64 // when another node was last heard
	swept       int64
	heldChecked int64 // when the monitor last looked at what is held
	eventsSince int64 // events that are handed over now happened after this; 0 where that is not known
}

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
func New(d *config.Deployment, protocol protocol.Codec, seed uint64, epoch, now int64, wire Wire,
	watch Watch) *Core {
	o := &Core{d: d, protocol: protocol, seed: seed, epoch: epoch, wire: wire, watch: watch, now: now, told: attempt.Told{},
		gate: admission.New(d.Limits), again: admission.NewRetries(d.Limits.Retries), pool: connpool.New(connpool.Bounds{PerEngine: d.Connections.PerEngine,
			Dials: d.Connections.ConcurrentDials, All: d.Connections.Total, IdleNs: int64(d.Connections.IdleTimeout), SettleNs: int64(d.Connections.ReuseDelay)}),
		clients: map[int64]*Client{}, closing: map[int64]int64{}, lines: map[int64]*Line{},
		controls: map[*controlRequest]bool{}, holds: reservation.New(reservation.BoundsFor(d.Rules.ReservationLimit, protocol.ReleaseReachesAllEngines(),
			holdsAnOpenCall*d.Limits.Open)), monitor: invariant.NewMonitor(invariant.LimitsFor(d.Rules.DrainGrace, d.Rules.ReservationLimit)), infs: map[int64]*inference{}, byName: map[string]*inference{}, answeredAt: map[string]int64{}}
	o.brain = routing.New(seed, d.RoutingConfig())
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
		o.tell(routing.TimerFired{Token: t.token})
	}
}

// How often what has no timer of its own is looked through: stalled streams, slow clients, old connections.
const sweepEvery = int64(25 * time.Millisecond)

func (o *Core) sweep() {
	o.leave()
	o.handOver()
	o.lookAgain()
	o.sweepLines()
	o.closeWritten()
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
			if attempt.Stalled(s.machine.State, idle, int64(o.d.StallTimeout)) {
				o.happen(s, attempt.Silent, "no token for "+time.Duration(idle).String())
			}
		}
	}
}

// endOverdue ends a connection whose time in its state is up.
func (o *Core) endOverdue(c *Client, state admission.State) {
	switch state {
	case admission.Idle:
		if !o.tryClose(c, CloseIdle) {
			return // a request has come in this moment
		}
	case admission.Heading, admission.Bodying:
		o.reply(c, nil, o.protocol.InvalidRequestResponse(http.StatusRequestTimeout, "too_slow", "",
			"the request did not come in time"))
	default:
		o.closeClient(c, CloseUnread)
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
