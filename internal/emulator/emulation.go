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
	// networkDelay is the delay of a message between two hosts in a data center.
	networkDelay = 200 * time.Microsecond
	// listDelay and listJitter determine the delay with which a router receives a change of the endpoint list.
	listDelay  = 400 * time.Millisecond
	listJitter = 200 // range of the random part of the delay, in milliseconds
	// settleTime is the time for which a run continues after the last client's timeout, so that reservations are released.
	settleTime  = 10 * time.Second
	dedupWindow = 5 * time.Second
)

// emulation is the state of one run.
type emulation struct {
	clock
	scenario     Scenario
	random       *rand.Rand
	routers      []*simulatedRouter
	engines      []*engine
	engineByName map[string]*engine
	requests     map[string]*clientRequest // requests by the ID that the client assigns to the attempt
	rateFactor   float64                   // multiple of the scenario's request rate
	listRevision int64
	recorder     *recorder
}

// Run runs a scenario and returns its result.
func Run(s Scenario) Result {
	em := &emulation{clock: clock{now: startTime}, scenario: s, random: rand.New(rand.NewPCG(s.Seed, 0x1ab)),
		engineByName: map[string]*engine{}, requests: map[string]*clientRequest{}, rateFactor: 1, recorder: newRecorder(s.Length)}
	em.addEngines()
	em.addRouters()
	em.publishEndpoints()
	for _, f := range s.Faults {
		em.scheduleAt(startTime+int64(f.At), func() { em.injectFault(f) })
	}
	em.scheduleArrival(0)
	longest := time.Duration(0)
	for _, route := range s.Routes {
		longest = max(longest, route.Timeout)
	}
	for em.runNext(em.endTime() + int64(longest+settleTime)) {
		em.recorder.result.Events++
	}
	heldReservations := 0
	for _, e := range em.engines {
		heldReservations += len(e.reservations)
	}
	return em.recorder.summarize(heldReservations)
}

// endTime returns the time after which no new sessions or turns start.
func (em *emulation) endTime() int64 { return startTime + int64(em.scenario.Length) }

// deployment returns the configuration of the routers.
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
		routerDeployment := *d
		routerDeployment.NodeNumber, routerDeployment.NodeName = i, fmt.Sprint("n", i)
		r := &simulatedRouter{emulation: em}
		r.core = router.New(&routerDeployment, chatapi.NewCodec(nil), em.scenario.Seed*1000+uint64(i), 1, em.now, r, noopObserver{})
		em.routers = append(em.routers, r)
	}
}

// publishEndpoints passes the endpoint list to all routers: the first at once, later ones after a random delay per router.
func (em *emulation) publishEndpoints() {
	em.listRevision++
	list := endpoint.List{Revision: em.listRevision, Entries: []endpoint.Entry{}}
	for _, e := range em.engines {
		if !e.isUnlisted {
			list.Entries = append(list.Entries, e.entry())
		}
	}
	for _, r := range em.routers {
		delay := time.Duration(0)
		if em.listRevision > 1 {
			delay = listDelay + time.Duration(em.random.IntN(listJitter))*time.Millisecond
		}
		em.scheduleAfter(delay, func() { r.handle(func(core *router.Router) { core.UpdateEndpoints(list) }) })
	}
}
