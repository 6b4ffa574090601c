package modelcheck

import (
	"math/rand/v2"
	"slices"
	"time"

	"sandcourse/internal/config"
)

// warmRate is how many attempts a second each engine of a crowd does when warm. The budget of a warming one is a part
// of it.
const warmRate = 60.0

const (
	crowdLength       = 24 * time.Second
	crowdStep         = 5 * time.Millisecond
	crowdLoad         = 0.75 // of what warm engines can do: a crowd that measures less of its engines grants less
	crowdBurst        = 3    // times the rate, after a restart
	crowdBurstLength  = 3 * time.Second
	crowdEngineSlots  = 8 // responses that an engine can give at once
	crowdFirstRestart = 6 * time.Second
	crowdNextRestart  = 15 * time.Second
)

// SimulateCrowd runs many routers for a while: steady arrivals at all, then an engine of each role restarts and warms
// up, twice, and for three seconds arrivals come at three times the rate, as returning clients cause it. The network has
// no faults and engines respond as fast as they can when warm, so that all that protects a warming engine is what the
// routers decide, each on its own.
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
			r.Ends++
		}
		rate := crowdLoad * warmCapacity / float64(w.Routers)
		if at < burstEnd {
			rate *= crowdBurst
		}
		c.addCapacity()
		for _, s := range c.fleet.routers {
			r.Transitions += c.stepRouter(s, startTime+int64(at), rate)
		}
		c.fleet.checkColdBudget()
		r.Depth++
	}
	r.MaxColdAttempts, r.States, r.Violations, r.Coverage = c.fleet.maxColdAttempts, r.Transitions, c.fleet.violations(), c.fleet.coverage()
	r.Complete = len(r.Violations) == 0
	return r
}

// crowd is a fleet under steady arrivals.
type crowd struct {
	fleet    *fleet
	random   *rand.Rand
	capacity map[string]float64 // responses that each engine can give now
}

// addCapacity grants engines what they can do in one step.
func (c *crowd) addCapacity() {
	for _, e := range c.fleet.endpoints.Entries {
		c.capacity[e.ID] = min(c.capacity[e.ID]+warmRate*crowdStep.Seconds(), crowdEngineSlots)
	}
}

// stepRouter runs one router up to now, with arrivals at a rate, and counts its events.
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

// nextHealthyEvent is the next event at a router that is no fault, with engines responding no faster than they can.
func (c *crowd) nextHealthyEvent(s *simulation) (next Event, ok bool) {
	list, pending := s.routerEvents()
	if !pending {
		return Event{}, false
	}
	for _, e := range list.events {
		takesCapacity := e.Action == CompletePrefill || e.Action == SendFirstToken
		if e.fault != noFault || takesCapacity && c.capacity[e.Engine] < 1 {
			continue
		}
		if takesCapacity {
			c.capacity[e.Engine]--
		}
		return e, true
	}
	return Event{}, false
}
