package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Routes are the request classes of the cases: one that may run again, and one that must not run twice.
var Routes = []Route{
	{Name: "clip-summary", Effect: "retryable", Objective: time.Second, Deadline: 4 * time.Second, Worth: 1},
	{Name: "fan-alert", Effect: "fragile", Objective: 800 * time.Millisecond, Deadline: 3 * time.Second, Worth: 5},
}

// Traffic is the traffic of ordinary clients at one node.
type Traffic struct {
	Node   string
	Rate   int // requests per second, in the mean
	Length time.Duration
	Record *Record

	// Check, if set, checks an answer. It is called concurrently.
	Check func(id, route string, answer *Answer)
}

// Run sends requests and returns how many were served, once all have their answer or ctx is done.
func (t Traffic) Run(ctx context.Context) (served int) {
	client := NewClient(t.Node)
	var requests sync.WaitGroup
	var count atomic.Int64
	for end := time.Now().Add(t.Length); time.Now().Before(end) && ctx.Err() == nil; {
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / float64(t.Rate)))
		id, route := fmt.Sprintf("%016x", rand.Uint64()), &Routes[rand.IntN(4)/3]
		requests.Go(func() {
			t.Record.Printf("client: %s of %s sent", id, route.Name)
			answer := client.Send(ctx, id, route)
			t.Record.Printf("client: %s answered with %d, %d events, whole: %v %v", id, answer.Status, len(answer.Events), answer.Whole, answer.Error)
			if answer.Status == http.StatusOK && answer.Whole {
				count.Add(1)
			}
			if t.Check != nil {
				t.Check(id, route.Name, &answer)
			}
		})
	}
	requests.Wait()
	return int(count.Load())
}

// StartAll starts the engines of a fleet, and returns their entries in a list of discovery.
func (f *Fleet) StartAll(engines []*Engine) (entries []string, err error) {
	for _, e := range engines {
		if err := f.Start(e); err != nil {
			return nil, err
		}
		entries = append(entries, e.Entry("SERVING"))
	}
	return entries, nil
}

// Pairs returns so many readers and as many writers, whose streams have the given events.
func Pairs(count, events int, gap time.Duration) (engines []*Engine) {
	for i := range count {
		engines = append(engines, &Engine{ID: fmt.Sprintf("r%d", i), ReadTime: 15 * time.Millisecond},
			&Engine{ID: fmt.Sprintf("w%d", i), Writer: true, Events: events, Gap: gap})
	}
	return engines
}
