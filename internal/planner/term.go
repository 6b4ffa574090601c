package planner

import (
	"fmt"
	"io"
	"os"
	"sync"

	"sandcourse/internal/endpoint"
)

// maxEndpointFileBytes is the maximum size of an endpoint file that is read.
const maxEndpointFileBytes = 4 << 20

// FollowedPlannerError reports that the store is new but engines follow another planner, which the start would fence off.
type FollowedPlannerError struct {
	Store  string
	Engine string // an engine that follows the other planner
	Term   int64  // term of the other planner
}

// Error returns the conflict and how to start the planner anyway.
func (e *FollowedPlannerError) Error() string {
	return fmt.Sprintf(
		"store %s is new, but engine %s follows a planner of term %d; if that planner is gone for good, start with --take-over",
		e.Store, e.Engine, e.Term)
}

// nextTerm returns the term after the stored one or, for a new store, a term above all that engines follow. If the store is new
// and engines follow another planner, starting would fence that planner off, so it is an error unless settings.TakeOver is set.
func (p *Planner) nextTerm(stored StoredState) (int64, error) {
	if stored.Term > 0 {
		return stored.Term + 1, nil
	}
	data, err := readEndpointFile(p.settings.EndpointFile)
	if err != nil {
		return 1, nil // No engines are listed yet.
	}
	list, err := endpoint.Parse(data)
	if err != nil {
		return 1, nil
	}
	term, engine := p.pollHighestTerm(list)
	if term > 0 && !p.settings.TakeOver {
		return 0, &FollowedPlannerError{Store: p.settings.Store, Engine: engine, Term: term}
	}
	return term + 1, nil
}

// pollHighestTerm polls all engines and returns the highest term that one of them follows, or 0 if no engine follows a term.
func (p *Planner) pollHighestTerm(list endpoint.List) (term int64, engine string) {
	var mu sync.Mutex
	var polls sync.WaitGroup
	slots := make(chan struct{}, pollWorkers)
	for _, entry := range list.Entries {
		polls.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			report, err := p.poller.poll(p.ctx, entry.ID)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if report.Term > term {
				term, engine = report.Term, entry.ID
			}
		})
	}
	polls.Wait()
	return term, engine
}

// readEndpointFile reads an endpoint file with the same size limit as watchEndpointFile.
func readEndpointFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, maxEndpointFileBytes+1))
}
