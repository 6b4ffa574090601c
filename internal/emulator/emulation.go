package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"sandcourse/internal/config"
	"sandcourse/internal/endpoint"
	"sandcourse/internal/protocol/chatapi"
	"sandcourse/internal/router"
)

const (
	// networkDelay is how long a message takes between any two hosts of one data centre.
	networkDelay = 200 * time.Microsecond
	// listDelay and listJitter are how late a router learns of a change of the endpoint list.
	listDelay  = 400 * time.Millisecond
	listJitter = 200 // milliseconds
	// settleTime is for how long after the last client's timeout a run goes on, so that reservations are released.
	settleTime  = 10 * time.Second
	dedupWindow = 5 * time.Second
)

// emulation is one run.
type emulation struct {
	clock
	scenario     Scenario
	random       *rand.Rand
	routers      []*simulatedRouter
	engines      []*engine
	engineByName map[string]*engine
	requests     map[string]*clientRequest // by the client's ID for the attempt
	rateFactor   float64                   // of arrivals
	listRevision int64
	records      *recorder
}

// Run runs a scenario.
func Run(s Scenario) Result {
	em := &emulation{clock: clock{now: startTime}, scenario: s, random: rand.New(rand.NewPCG(s.Seed, 0x1ab)),
		engineByName: map[string]*engine{}, requests: map[string]*clientRequest{}, rateFactor: 1, records: newRecorder(s.Length)}
	em.addEngines()
	em.addRouters()
	em.publish()
	for _, f := range s.Faults {
		em.at(startTime+int64(f.At), func() { em.injectFault(f) })
	}
	em.nextArrival(0)
	longest := time.Duration(0)
	for _, r := range s.Routes {
		longest = max(longest, r.Timeout)
	}
	for em.runNext(em.endTime() + int64(longest+settleTime)) {
		em.records.result.Events++
	}
	held := 0
	for _, e := range em.engines {
		held += len(e.reservations)
	}
	return em.records.summarize(held)
}

// endTime is when the last client arrives at the latest.
func (em *emulation) endTime() int64 { return startTime + int64(em.scenario.Length) }

// deployment is the configuration of the routers.
func (em *emulation) deployment() *config.Deployment {
	d, model := config.Defaults(), em.scenario.Engine
	d.NodeCount, d.Limits.RetryShare = em.scenario.Routers, em.scenario.RetryBudget
	d.Kinds = []config.EngineKind{{Name: "prefill", Role: config.RolePrefill, MemoryTokens: model.MemoryTokens},
		{Name: "decode", Role: config.RoleDecode, MemoryTokens: model.MemoryTokens}}
	d.Rules.SlowStart, d.Rules.SlowStartShare = model.WarmUp, model.WarmUpShare
	for _, r := range em.scenario.Routes {
		d.Routes = append(d.Routes, config.Route{Name: r.Name, Effect: r.Effect, PriorityWeight: r.PriorityWeight,
			FirstTokenObjective: r.FirstTokenTarget, Timeout: r.Timeout, DedupWindow: dedupWindow, DedupGroup: "all"})
	}
	return d
}

func (em *emulation) addEngines() {
	for i := range em.scenario.PrefillEngines + em.scenario.DecodeEngines {
		e := &engine{emulation: em, name: fmt.Sprintf("10.1.%d.%d:%d", i/200, i%200+1, 7000), role: config.RolePrefill, slowdown: 1,
			connections: map[*connection]bool{}}
		if i >= em.scenario.PrefillEngines {
			e.role = config.RoleDecode
		}
		e.start()
		em.engines = append(em.engines, e)
		em.engineByName[e.name] = e
	}
}

func (em *emulation) addRouters() {
	d := em.deployment()
	for i := range em.scenario.Routers {
		own := *d
		own.NodeNumber, own.NodeName = i, fmt.Sprint("n", i)
		r := &simulatedRouter{emulation: em}
		r.core = router.New(&own, chatapi.NewCodec(nil), em.scenario.Seed*1000+uint64(i), 1, em.now, r, ignoreObservations{})
		em.routers = append(em.routers, r)
	}
}

// publish passes the endpoint list to all routers: the first at once, later ones after a delay, not to all at once.
func (em *emulation) publish() {
	em.listRevision++
	list := endpoint.List{Revision: em.listRevision, Entries: []endpoint.Entry{}}
	for _, e := range em.engines {
		if !e.unlisted {
			list.Entries = append(list.Entries, e.entry())
		}
	}
	for _, r := range em.routers {
		delay := time.Duration(0)
		if em.listRevision > 1 {
			delay = listDelay + time.Duration(em.random.IntN(listJitter))*time.Millisecond
		}
		em.after(delay, func() { r.handle(func(core *router.Router) { core.UpdateEndpoints(list) }) })
	}
}
