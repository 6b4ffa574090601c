package routing

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	flag.Set("rapid.seed", "7")
	flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

const ms = time.Millisecond

// simulationStart is when simulated nodes start.
const simulationStart = 1000 * time.Second

// requestRecord is the test's own record of one request: its attempts, its reservation and its answer.
type requestRecord struct {
	RequestArrived
	inFlight      []int // indices of the attempts in flight
	engines       []string
	sentAt        []time.Duration
	ran           []bool // for each attempt: by its outcome, the attempt may have run
	decode        []bool
	reserved      bool
	reservedSince time.Duration
	streaming     bool
	ended         bool
	answer        string
}

// simulation feeds random events to one policy and checks five rules by its own record: each request gets one answer in time
// (1), no request runs twice if its route forbids it (2), attempts go to ready engines only (3), engines that are warming up
// get limited attempts (4), and reservations are not held for too long (5).
type simulation struct {
	t             *rapid.T
	policy        *Policy
	config        Config
	now           time.Duration
	requests      map[int64]*requestRecord
	ids           []int64
	engines       map[string]Endpoint
	timers        map[time.Duration][]int64 // tokens of timers by due time
	sentWarmingUp map[string][]time.Duration
	sentTo        map[string][]time.Duration
}

func newSimulation(t *rapid.T) *simulation {
	config := DefaultConfig()
	config.MaxAttempts = rapid.IntRange(2, 6).Draw(t, "attempts")
	config.CanCancel, config.Tick, config.Nodes = true, 4*time.Millisecond, 3
	config.SuggestRetryAfter, config.MaxRetryAfter = true, time.Second
	config.SetReservationLimit(300 * time.Millisecond)
	config.SlowStart = SlowStart{Duration: 10 * time.Second, Window: time.Second, Share: 0.25, Multiple: 3}
	config.Kinds = []EngineKind{{Role: PrefillOnly}, {Role: DecodeOnly}, {Role: Mixed}}
	for i, effect := range []Effect{Retriable, Deduped, NonRetriable} {
		group := rapid.SampledFrom([]DedupGroup{DedupAll, DedupZone, DedupCell}).Draw(t, "group")
		config.Routes = append(config.Routes, Route{Effect: effect, DedupWindow: 2 * time.Second, DedupGroup: group,
			FirstTokenObjective: time.Second, PriorityWeight: float64(i + 1)})
	}
	s := &simulation{t: t, policy: New(7, config), config: config, now: simulationStart, requests: map[int64]*requestRecord{},
		engines: map[string]Endpoint{}, timers: map[time.Duration][]int64{},
		sentWarmingUp: map[string][]time.Duration{}, sentTo: map[string][]time.Duration{}}
	s.updateEndpoints()
	return s
}

func (s *simulation) step(event Event) {
	for _, action := range s.policy.Step(s.now, event) {
		s.apply(action)
	}
	checkIndexes(s.t, s.policy)
	s.checkReservations()
}

func (s *simulation) fail(rule, format string, args ...any) {
	s.t.Fatalf("rule %s: %s", rule, fmt.Sprintf(format, args...))
}

func (s *simulation) apply(action Action) {
	switch e := action.(type) {
	case Send:
		s.send(e)
	case Shed:
		s.recordAnswer(e.RequestID, "shed")
	case Fail:
		s.recordAnswer(e.RequestID, "errored")
	case Release:
		if req := s.requests[e.RequestID]; req != nil && len(req.inFlight) == 0 {
			req.reserved = false
		}
	case StartTimer:
		at := s.now + max(e.After, 1)
		s.timers[at] = append(s.timers[at], e.Token)
	}
}

func (s *simulation) send(action Send) {
	req, engine := s.requests[action.RequestID], s.engines[action.Engine]
	switch {
	case req == nil || req.ended:
		s.fail("1", "request %d is sent after its end", action.RequestID)
	case len(req.inFlight) > 0:
		s.fail("2", "request %d has two attempts in flight", action.RequestID)
	case !engine.Ready:
		s.fail("3", "request %d is sent to %s, which is not ready", action.RequestID, action.Engine)
	}
	s.checkRetry(req, engine)
	if engine.StartedAt > 0 && s.now-engine.StartedAt < s.config.SlowStart.Duration {
		s.checkSlowStart(engine)
	}
	s.sentTo[action.Engine] = append(s.sentTo[action.Engine], s.now)
	req.inFlight = append(req.inFlight, len(req.engines))
	req.engines, req.sentAt = append(req.engines, action.Engine), append(req.sentAt, s.now)
	req.decode = append(req.decode, engine.Kind != 0)
	req.ran = append(req.ran, false)
}

// checkRetry fails if a request that may have run is sent again where its route does not allow it.
func (s *simulation) checkRetry(req *requestRecord, engine Endpoint) {
	route := s.config.Routes[req.Route]
	for i, ran := range req.ran {
		if !ran || route.Effect == Retriable {
			continue
		}
		first, group := s.engines[req.engines[i]], route.DedupGroup
		inGroup := group == DedupAll || group == DedupZone && first.Zone == engine.Zone ||
			group == DedupCell && first.Cell == engine.Cell
		expired := s.now-req.sentAt[i] > route.DedupWindow
		if route.Effect == NonRetriable || expired || engine.Kind != 0 && !inGroup {
			s.fail("2", "request %d is sent again although it may have run", req.RequestID)
		}
	}
}

// checkSlowStart fails if an engine that is warming up is sent too many attempts. The budget of a window is 0.25 x 3 x 1 s of
// what an engine can do, which is at least what one was sent on average. The random selection of one of the three nodes
// allows one attempt more.
func (s *simulation) checkSlowStart(engine Endpoint) {
	recent, sent, sameKind := 0, 0.0, 0.0
	for _, at := range s.sentWarmingUp[engine.Engine] {
		if s.now-at < time.Second {
			recent++
		}
	}
	for id, other := range s.engines {
		if other.Kind != engine.Kind {
			continue
		}
		if other.Ready {
			sameKind++
		}
		for _, at := range s.sentTo[id] {
			if s.now-at < 20*time.Second {
				sent++
			}
		}
	}
	budget := 0.75 * sent / max(1, sameKind) * 1e9 / float64(min(20*time.Second, max(time.Second, s.now-simulationStart)))
	s.sentWarmingUp[engine.Engine] = append(s.sentWarmingUp[engine.Engine], s.now)
	if recent > int(budget) {
		s.fail("4", "%s is warming up and is sent %d attempts within a window", engine.Engine, recent+1)
	}
}

func (s *simulation) recordAnswer(id int64, answer string) {
	req := s.requests[id]
	switch {
	case req == nil || req.ended:
		s.fail("1", "request %d is answered after its end", id)
	case s.now > req.Deadline+16*ms:
		s.fail("1", "request %d is answered too late", id)
	}
	if answer == "shed" && req.Route > 0 && (req.Route == 2 || s.config.Routes[1].DedupGroup != DedupAll) {
		for _, ran := range req.ran {
			if ran || len(req.inFlight) > 0 || req.Resumed {
				s.fail("2", "request %d is shed although it may have run", id)
			}
		}
	}
	req.ended, req.answer = true, answer
}

func (s *simulation) checkReservations() {
	for _, id := range s.ids {
		req := s.requests[id]
		if req.reserved && len(req.inFlight) == 0 && s.now-req.reservedSince > 300*ms {
			s.fail("5", "reservation of request %d is held for %d ms", id, (s.now-req.reservedSince)/ms)
		}
		if !req.ended && !req.streaming && s.now > req.Deadline+16*ms {
			s.fail("1", "request %d is never answered", id)
		}
	}
}

func (s *simulation) updateEndpoints() {
	complete := rapid.Bool().Draw(s.t, "complete") || len(s.engines) == 0
	update := EndpointUpdate{Complete: complete, Failed: !complete && rapid.IntRange(0, 9).Draw(s.t, "failed") == 0}
	for i := range 8 {
		lifecycle := rapid.IntRange(0, 11).Draw(s.t, "lifecycle")
		e := Endpoint{Engine: fmt.Sprintf("e%d", i), Weight: 1, Zone: i % 2, Cell: i % 3, Kind: min(i%3, 2),
			Ready: lifecycle > 1, Draining: lifecycle == 1, Removed: lifecycle == 0, StartedAt: s.engines[fmt.Sprintf("e%d", i)].StartedAt}
		if rapid.IntRange(0, 7).Draw(s.t, "restart") == 0 {
			e.StartedAt = s.now - time.Duration(rapid.Int64Range(0, 3000).Draw(s.t, "age"))*ms
		}
		if !update.Failed && (complete || rapid.Bool().Draw(s.t, "listed")) {
			update.Engines = append(update.Engines, e)
			s.engines[e.Engine] = e
		}
	}
	s.step(update)
}

func (s *simulation) arrive() {
	id := int64(len(s.ids) + 1)
	req := &requestRecord{RequestArrived: RequestArrived{RequestID: id, Route: rapid.IntRange(0, 2).Draw(s.t, "route"),
		Session: fmt.Sprint("s", rapid.IntRange(0, 5).Draw(s.t, "session")),
		Prefix:  rapid.SampledFrom([]string{"", "p1", "p2"}).Draw(s.t, "prefix"), PromptTokens: 2000, PrefixTokens: 1500,
		Deadline: s.now + time.Duration(rapid.Int64Range(5, 4000).Draw(s.t, "time to deadline"))*ms, MaxOutputTokens: 300,
		Resumed: rapid.IntRange(0, 9).Draw(s.t, "resumed") == 0}}
	s.requests[id], s.ids = req, append(s.ids, id)
	s.step(req.RequestArrived)
}

// endAttempt ends one attempt in flight with a random outcome.
func (s *simulation) endAttempt() {
	var open []int64
	for _, id := range s.ids {
		if len(s.requests[id].inFlight) > 0 {
			open = append(open, id)
		}
	}
	if len(open) == 0 {
		return
	}
	req := s.requests[rapid.SampledFrom(open).Draw(s.t, "request")]
	index := req.inFlight[0]
	o := Outcome{RequestID: req.RequestID, Attempt: index, Engine: req.engines[index], Latency: s.now - req.sentAt[index]}
	verdicts := []Verdict{EngineError, Full, TimedOut, NotConnected, ConnectionLost, Canceled, NotSent}
	switch {
	case req.streaming:
		verdicts, o.RequestEnded = []Verdict{Completed, Completed, ConnectionLost}, true
	case req.decode[index] && !req.ended && rapid.Bool().Draw(s.t, "first token"):
		req.streaming, req.reserved = true, false
		s.step(FirstToken{RequestID: req.RequestID, Attempt: index, Engine: req.engines[index], Latency: o.Latency})
		return
	case !req.decode[index]:
		verdicts = append(verdicts, PrefillDone, PrefillDone, PrefillDone, PrefillDone, PrefillDone)
	}
	o.Verdict = rapid.SampledFrom(verdicts).Draw(s.t, "verdict")
	req.inFlight = nil
	switch o.Verdict {
	case Full:
		if req.decode[index] && rapid.Bool().Draw(s.t, "reservation lost") {
			o.ReservationLost, req.reserved = true, false
		}
	case PrefillDone:
		req.reserved, o.CachedTokens = true, rapid.SampledFrom([]float64{0, 1500}).Draw(s.t, "cached tokens")
	case EngineError, TimedOut, ConnectionLost, Canceled:
		req.ran[index] = req.decode[index]
	}
	req.reservedSince = s.now
	if o.RequestEnded = o.RequestEnded || req.ended; o.RequestEnded {
		req.ended = true
	}
	s.step(o)
	if rapid.IntRange(0, 9).Draw(s.t, "repeated") == 0 {
		s.step(o) // A late or repeated outcome must be harmless.
	}
}

func (s *simulation) advance() {
	until := s.now + time.Duration(rapid.Int64Range(1, 60).Draw(s.t, "time"))*4*ms
	for s.now < until {
		s.now += 4 * ms
		for at := s.now - 4*ms + 1; ; {
			due := time.Duration(0)
			for t := range s.timers {
				if t <= s.now && t >= at-4*ms && (due == 0 || t < due) {
					due = t
				}
			}
			if due == 0 {
				break
			}
			tokens := s.timers[due]
			delete(s.timers, due)
			for _, token := range tokens {
				s.step(TimerFired{token})
			}
		}
		s.checkReservations()
	}
}

func (s *simulation) disconnect() {
	if len(s.ids) == 0 {
		return
	}
	req := s.requests[rapid.SampledFrom(s.ids).Draw(s.t, "disconnected request")]
	req.ended = true
	s.step(ClientDisconnected{req.RequestID})
}

func TestRoutingRulesHoldUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step kind") {
			case 0, 1, 2:
				s.arrive()
			case 3, 4, 5, 6:
				s.endAttempt()
			case 7, 8:
				s.advance()
			default:
				if rapid.Bool().Draw(t, "endpoint update") {
					s.updateEndpoints()
				} else {
					s.disconnect()
				}
			}
		}
		s.now += 4 * ms
		for range 30 {
			s.advance()
		}
	})
}
