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
	engineEvents      = 5 // number of events of each stream
	engineMinIdleTime = 500 * time.Millisecond
)

// listedEngine is a fake engine with its discovery entry and a proxy for each group of edges.
type listedEngine struct {
	*platformengine.Engine
	proxies []*proxy
	entry   *instance
}

// addEngine starts an engine and its proxies and adds the engine to discovery.
func (r *soakRun) addEngine(role platformengine.Role) error {
	r.mu.Lock()
	r.lastEngineNumber++
	id := fmt.Sprintf("s-%d", r.lastEngineNumber)
	r.mu.Unlock()
	engine, err := r.fleet.Start(platformengine.Config{ID: id, Role: role, Slots: engineSlots, WorkTime: engineWorkTime, Events: engineEvents,
		IdleTime: r.engineIdleTime()})
	if err != nil {
		return err
	}
	l := &listedEngine{Engine: engine, entry: &instance{id: id, kind: string(role), state: instanceServing}}
	for range groupCount {
		p, err := newProxy(engine.Addr, func(address string) { r.fleet.RouterClosed(id, address) })
		if err != nil {
			return fmt.Errorf("proxy of engine %s: %w", id, err)
		}
		l.proxies = append(l.proxies, p)
		l.entry.hosts = append(l.entry.hosts, p.addr())
	}
	r.mu.Lock()
	r.engines = append(r.engines, l)
	r.mu.Unlock()
	r.discovery.update(l.entry)
	return nil
}

// engineIdleTime returns a random idle timeout for the connections of an engine, at most the idle timeout of the edges.
func (r *soakRun) engineIdleTime() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return drawDuration(r.random, engineMinIdleTime, connectionIdleTime)
}

// setInstanceState changes the state of an engine in discovery.
func (r *soakRun) setInstanceState(l *listedEngine, state instanceState) {
	changed := *l.entry
	changed.state = state
	l.entry = &changed
	r.discovery.update(&changed)
}

func (l *listedEngine) close() {
	l.Stop()
	for _, p := range l.proxies {
		p.close()
	}
}
