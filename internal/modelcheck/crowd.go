package modelcheck

import (
	"math/rand/v2"
	"slices"
	"time"

	"sandcourse/internal/config"
)

// warmRate is the number of attempts per second that a warm engine of a crowd serves. The slow-start budget of an engine
// is a share of this rate.
const warmRate = 60.0

const (
	crowdLength       = 24 * time.Second
	crowdStep         = 5 * time.Millisecond
	crowdLoad         = 0.75 // share of the capacity of warm engines; routers that measure a lower rate grant a smaller budget
	crowdBurstFactor  = 3    // multiple of the arrival rate after a restart
	crowdBurstLength  = 3 * time.Second
	crowdEngineSlots  = 8 // maximum number of responses that an engine can send at once
	crowdFirstRestart = 6 * time.Second
	crowdNextRestart  = 15 * time.Second
)

// SimulateCrowd simulates a large fleet of routers with steady arrivals. Twice, an engine of each role restarts and warms
// up, and requests arrive at three times the rate for three seconds, as when clients return after an outage. The network
// has no faults and engines respond at their warm rate, so a warming engine is protected only by the decisions that the
// routers make independently of each other.
func SimulateCrowd(w World, seed uint64, stop func() bool) (r Result) {
	c := &crowd{fleet: newFleet(w), random: rand.New(rand.NewPCG(seed, 300)), capacity: map[string]float64{}}
	r.World = w
	restarts := []time.Duration{crowdFirstRestart, crowdNextRestart}
	burstEnd := time.Duration(0)
	warmCapacity := warmRate * float64(min(w.PrefillEngines, w.DecodeEngines))
	for at := time.Duration(0); at < crowdLength && len(c.fleet.violations()) == 0 && (stop == nil || !stop()); at += crowdStep {
		if len(restarts) > 0 && at >= restarts[0] {
			c.fleet.restartEngine(len(restarts) - 1)
			c.fleet.restartEngine(w.PrefillEngines + len(restarts) - 1)
			restarts, burstEnd = restarts[1:], at+crowdBurstLength
			r.TerminalStates++
		}
		rate := crowdLoad * warmCapacity / float64(w.Routers)
		if at < burstEnd {
			rate *= crowdBurstFactor
		}
		c.addCapacity()
		for _, s := range c.fleet.routers {
			r.Transitions += c.stepRouter(s, startTime+int64(at), rate)
		}
		c.fleet.checkSlowStartBudget()
		r.Depth++
	}
	r.MaxColdAttempts, r.States, r.Violations, r.Coverage = c.fleet.maxColdAttempts, r.Transitions, c.fleet.violations(), c.fleet.coverage()
	r.Complete = len(r.Violations) == 0
	return r
}

// crowd is a large fleet with steady arrivals.
type crowd struct {
	fleet    *fleet
	random   *rand.Rand
	capacity map[string]float64 // number of responses that each engine can send now
}

// addCapacity adds to each engine the capacity of one step.
func (c *crowd) addCapacity() {
	for _, e := range c.fleet.endpoints.Entries {
		c.capacity[e.ID] = min(c.capacity[e.ID]+warmRate*crowdStep.Seconds(), crowdEngineSlots)
	}
}

// stepRouter advances one router to now, with requests that arrive at a rate, and returns the number of events.
func (c *crowd) stepRouter(s *simulation, now int64, rate float64) (events int) {
	active := len(s.clients) > 0
	if s.core.NextDue() <= now || active {
		s.advanceTo(now)
	}
	s.now = now
	if c.random.Float64() < rate*crowdStep.Seconds() {
		s.sendRequest(s.addClient(config.EffectRetriable))
		active = true
	}
	for active {
		e, ok := c.nextHealthyEvent(s)
		if !ok {
			break
		}
		e.apply()
		events++
	}
	s.clients = slices.DeleteFunc(s.clients, func(c *simulatedClient) bool { return c.endedAt > 0 })
	s.connections = slices.DeleteFunc(s.connections, func(c *simulatedConnection) bool { return c.closed })
	return events
}

// nextHealthyEvent returns the first event at a router that is not a fault and that the capacity of the engines allows.
func (c *crowd) nextHealthyEvent(s *simulation) (next Event, ok bool) {
	list, pending := s.routerEvents()
	if !pending {
		return Event{}, false
	}
	for _, e := range list.events {
		usesCapacity := e.Action == CompletePrefill || e.Action == SendFirstToken
		if e.fault != noFault || usesCapacity && c.capacity[e.Engine] < 1 {
			continue
		}
		if usesCapacity {
			c.capacity[e.Engine]--
		}
		return e, true
	}
	return Event{}, false
}
