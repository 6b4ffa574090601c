package soak

import (
	"fmt"
	"time"

	"sandcourse/internal/fake/platformengine"
)

// Settings of the fake engines.
const (
	engineSlots       = 16
	engineWorkTime    = 10 * time.Millisecond
	engineEvents      = 5 // of each stream
	engineMinIdleTime = 500 * time.Millisecond
)

// listedEngine is a fake engine with a proxy for each group of edges and its entry in discovery.
type listedEngine struct {
	*platformengine.Engine
	proxies []*proxy
	listed  *instance
}

// addEngine starts an engine with its proxies and lists it.
func (r *soakRun) addEngine(role platformengine.Role) error {
	r.mu.Lock()
	r.lastEngine++
	id := fmt.Sprintf("s-%d", r.lastEngine)
	r.mu.Unlock()
	engine, err := r.fleet.Start(platformengine.Config{ID: id, Role: role, Slots: engineSlots, WorkTime: engineWorkTime, Events: engineEvents,
		IdleTime: r.engineIdleTime()})
	if err != nil {
		return err
	}
	l := &listedEngine{Engine: engine, listed: &instance{id: id, kind: string(role), state: serving}}
	for range groupCount {
		p, err := newProxy(engine.Addr, func(address string) { r.fleet.RouterClosed(id, address) })
		if err != nil {
			return fmt.Errorf("proxy of engine %s: %w", id, err)
		}
		l.proxies = append(l.proxies, p)
		l.listed.hosts = append(l.listed.hosts, p.addr())
	}
	r.mu.Lock()
	r.engines = append(r.engines, l)
	r.mu.Unlock()
	r.discovery.update(l.listed)
	return nil
}

// engineIdleTime draws after what an engine closes idle connections: any time up to the edges' own.
func (r *soakRun) engineIdleTime() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return between(r.random, engineMinIdleTime, connectionIdleTime)
}

// setState lists an engine in another state.
func (r *soakRun) setState(l *listedEngine, state instanceState) {
	changed := *l.listed
	changed.state = state
	l.listed = &changed
	r.discovery.update(&changed)
}

func (l *listedEngine) close() {
	l.Stop()
	for _, p := range l.proxies {
		p.close()
	}
}
