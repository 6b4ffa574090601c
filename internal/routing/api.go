// Package brain decides where inferences are read and written. It knows no wire and no clock: inputs and
// the time go in through Step, effects come out.
package routing

// Input is one of the types below that say so.
type Input interface{ isInput() }

// EngineNews is a message of discovery. Whole lists replace what was known; others change it.
type EngineNews struct {
	Whole   bool
	Failed  bool // a call to discovery failed; the old list stays
	Engines []EngineEntry
}

// EngineEntry is one line of a list.
type EngineEntry struct {
	Engine             string
	Weight             float64
	Zone, Cell, Kind   int
	UpSince            int64 // nanoseconds; 0 for long ago
	Ready, Drains, Out bool  // exactly one is true
}

// Arrival is an inference that this node has taken.
type Arrival struct {
	Inf                  int64
	Route                int
	Session, Prefix      string
	GiveUpAt             int64
	Prompt, PrefixTokens float64
	MaxAnswer            float64
	Repeat, Resumed      bool
}

// FirstToken says that the answer has begun to stream.
type FirstToken struct {
	Inf    int64
	Send   int
	Engine string
	Lag    int64
}

// Verdict is how a send ended.
type Verdict uint8

// The verdicts of a send.
const (
	Completed Verdict = iota
	EngineError
	Full
	TimedOut
	NotConnected
	ConnectionLost
	Withdrawn
	NotSent
	ReadDone
)

// Outcome ends a send. Note carries kept prompt tokens on ReadDone and Completed; on Full, 1 says that the
// state is gone.
type Outcome struct {
	Inf     int64
	Send    int
	Engine  string
	Verdict Verdict
	Lag     int64
	Ended   bool
	Note    float64
	Report  map[string]float64
	Stale   bool // a kept connection broke as it was used again: it may have run, but tells nothing of the engine
}

// ClientGone says that nobody waits for the inference any more.
type ClientGone struct{ Inf int64 }

// TimerDue returns a token that ArmTimer was given.
type TimerDue struct{ Token int64 }

// ProbeResult ends a probe.
type ProbeResult struct {
	Engine  string
	Verdict Verdict
	Lag     int64
	Report  map[string]float64
}

// PeerMessage came from another node.
type PeerMessage struct {
	From int
	Text string
}

// PlaceNews answers HoldPlace while the read is out.
type PlaceNews struct {
	Inf    int64
	Send   int
	Engine string
	Held   bool
}

func (EngineNews) isInput()  {}
func (Arrival) isInput()     {}
func (FirstToken) isInput()  {}
func (Outcome) isInput()     {}
func (ClientGone) isInput()  {}
func (TimerDue) isInput()    {}
func (ProbeResult) isInput() {}
func (PeerMessage) isInput() {}
func (PlaceNews) isInput()   {}

// Effect is one of the types below that say so.
type Effect interface{ isEffect() }

// Send sends an inference to an engine; Patience 0 waits as long as the client does.
type Send struct {
	Inf      int64
	Engine   string
	Patience int64
}

// Shed is the final answer that makes a further try harmless.
type Shed struct {
	Inf      int64
	ComeBack int64 // 0: no advice
}

// Fail is the final answer that promises nothing.
type Fail struct{ Inf int64 }

// Withdraw abandons the wait for one send.
type Withdraw struct {
	Inf  int64
	Send int
}

// Discard lets go of all states and places held for an inference that no send waits for.
type Discard struct{ Inf int64 }

// ArmTimer asks for a TimerDue no sooner than In from now.
type ArmTimer struct{ Token, In int64 }

// Move hands a begun stream back to its client, who returns with it.
type Move struct{ Inf int64 }

// Probe asks an engine for its health.
type Probe struct{ Engine string }

// Tell sends a short text to one node, or to all others where To is negative.
type Tell struct {
	To   int
	Text string
}

// Watch opens a standing subscription to discovery.
type Watch struct{}

func (Send) isEffect()     {}
func (Shed) isEffect()     {}
func (Fail) isEffect()     {}
func (Withdraw) isEffect() {}
func (Discard) isEffect()  {}
func (ArmTimer) isEffect() {}
func (Move) isEffect()     {}
func (Probe) isEffect()    {}
func (Tell) isEffect()     {}
func (Watch) isEffect()    {}

// New makes the brain of one node that has just started. The named facts of the deployment are flat, such as
// "routes.0.value"; they may lack any name. Numbers are float64, times are nanoseconds.
func New(seed uint64, facts map[string]any) *Brain {
	return &Brain{seed: seed, facts: facts, engines: map[string]*engine{}, infs: map[int64]*inference{},
		timers: map[int64]timer{}, kept: map[keptKey]kept{}, pairs: map[string]pair{}}
}

// Step takes one input at the time now and returns what is to be done, in order.
func (b *Brain) Step(now int64, in Input) []Effect {
	b.now, b.effects, b.counted = now, nil, nil
	b.take(in)
	return b.effects
}

// take hands an input to the decisions.
func (b *Brain) take(in Input) {
	if !b.started {
		b.started, b.firstAt = true, b.now
		b.watch()
	}
	switch in := in.(type) {
	case EngineNews:
		b.learnEngines(in)
	case Arrival:
		b.infs[in.Inf] = &inference{Arrival: in, at: b.now}
		b.arm(b.infs[in.Inf], timeUp, max(0, in.GiveUpAt-b.now-b.margin()))
		b.arm(b.infs[in.Inf], tooLate, int64(b.target(b.infs[in.Inf])))
		b.drive(b.infs[in.Inf], arrive)
	case FirstToken:
		if inf := b.infs[in.Inf]; inf != nil && in.Send >= 0 && in.Send < len(inf.sends) {
			b.takeFirst(inf, in)
		}
	case PeerMessage:
		b.hear(in.Text)
	case Outcome:
		b.takeOutcome(in)
	case ProbeResult:
		b.takeAnswer(in)
	case ClientGone:
		if inf := b.infs[in.Inf]; inf != nil {
			b.drive(inf, clientGone)
			b.forget(inf)
		}
	case TimerDue:
		t, ok := b.timers[in.Token]
		delete(b.timers, in.Token)
		if !ok {
			return
		}
		if t.inf < 0 {
			b.watch()
		} else if inf := b.infs[t.inf]; inf != nil {
			if t.input == wake {
				inf.wakeSet = false
			}
			b.drive(inf, t.input)
			b.forget(inf)
		}
	}
}
