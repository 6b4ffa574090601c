package scenario

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"go.uber.org/zap"

	"sandcourse/internal/config"
	"sandcourse/internal/planner"
	"sandcourse/internal/planner/planapi"
)

const (
	killInterval              = 9 * time.Second
	killIntervalStep          = 700 * time.Millisecond
	plannerDownTime           = 400 * time.Millisecond
	plannerStartAttempts      = 50
	plannerStartRetryInterval = 20 * time.Millisecond
)

// plannerProcess is a planner in this process that can be killed and restarted. The planner keeps its address.
type plannerProcess struct {
	config    *config.Planner
	log       *zap.Logger
	out       io.Writer
	onPublish func(planapi.Plan)

	mu      sync.Mutex
	planner *planner.Planner
}

func (p *plannerProcess) start() error {
	started := planner.New(p.config, p.log)
	started.OnPublish = p.onPublish
	if err := started.Start(); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.planner, p.config.Listen = started, started.Addr()
	return nil
}

func (p *plannerProcess) addr() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.planner.Addr()
}

func (p *plannerProcess) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.planner.Stop()
}

// killRepeatedly kills and restarts the planner until the context is canceled, and returns the number of kills.
func (p *plannerProcess) killRepeatedly(ctx context.Context) (kills int) {
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return kills
		case <-time.After(killInterval + time.Duration(n%3)*killIntervalStep):
		}
		p.stop()
		time.Sleep(plannerDownTime)
		if err := p.restart(); err != nil {
			fmt.Fprintln(p.out, "planner did not restart:", err)
			return kills
		}
		kills++
	}
}

// restart starts the planner again, with retries until its address is free.
func (p *plannerProcess) restart() (err error) {
	for range plannerStartAttempts + 1 {
		if err = p.start(); err == nil {
			return nil
		}
		time.Sleep(plannerStartRetryInterval)
	}
	return err
}
