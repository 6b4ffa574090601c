package planner

import (
	"fmt"
	"io"
	"os"
	"sync"

	"sandcourse/internal/endpoint"
)

// maxEndpointFileBytes is as much as is read of an endpoint file.
const maxEndpointFileBytes = 4 << 20

// FollowedPlannerError says that a store is new while engines follow another planner, which this one would fence off.
type FollowedPlannerError struct {
	Store  string
	Engine string // one that follows the other planner
	Term   int64  // of the other planner
}

// Error returns what was found and how to start the planner nevertheless.
func (e *FollowedPlannerError) Error() string {
	return fmt.Sprintf("store %s is new, and %s follows a planner of term %d; if that one is gone for good, start with --take-over",
		e.Store, e.Engine, e.Term)
}

// nextTerm is higher than all terms of this store. A planner whose store is new and whose engines follow another planner
// would fence that one off, so it starts only with settings.TakeOver.
func (p *Planner) nextTerm(stored StoredState) (int64, error) {
	if stored.Term > 0 {
		return stored.Term + 1, nil
	}
	data, err := readEndpointFile(p.settings.EndpointFile)
	if err != nil {
		return 1, nil // nothing is known of engines yet
	}
	list, err := endpoint.Parse(data)
	if err != nil {
		return 1, nil
	}
	term, engine := p.highestTerm(list)
	if term > 0 && !p.settings.TakeOver {
		return 0, &FollowedPlannerError{Store: p.settings.Store, Engine: engine, Term: term}
	}
	return term + 1, nil
}

// highestTerm polls all engines for the highest term that one of them follows; 0 if none follows any.
func (p *Planner) highestTerm(list endpoint.List) (term int64, engine string) {
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

// readEndpointFile reads an endpoint file, bounded as the watcher of the file bounds it.
func readEndpointFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, maxEndpointFileBytes+1))
}
