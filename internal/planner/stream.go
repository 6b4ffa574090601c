package planner

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"sandcourse/internal/planner/planapi"
)

// Bounds of a stream of plans.
const (
	maxStreams         = 5000
	heartbeatInterval  = time.Second // a stream without a new plan has an empty line at least this often
	streamWriteTimeout = 5 * time.Second
	minAge             = 50 * time.Millisecond // a plan that is younger is sent as it was made
)

// planStream holds the newest plan and sends it to the edges that follow it.
type planStream struct {
	following prometheus.Gauge

	mu      sync.Mutex
	newest  encodedPlan
	changed chan struct{} // closed at the next change
	streams int
}

// encodedPlan is a plan as a line of the stream.
type encodedPlan struct {
	line   []byte // nil if there is no plan
	number int64
	madeAt time.Time
}

func newPlanStream(following prometheus.Gauge) *planStream {
	return &planStream{following: following, changed: make(chan struct{})}
}

// publish makes a line the newest plan.
func (s *planStream) publish(line []byte, number int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newest = encodedPlan{line: line, number: number, madeAt: time.Now()}
	s.notify()
}

// close takes the plan away: streams that had one end.
func (s *planStream) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newest.line = nil
	s.notify()
}

// notify wakes all streams. The caller holds the lock.
func (s *planStream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *planStream) current() (encodedPlan, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest, s.changed
}

// status is the number of the newest plan and how many edges follow.
func (s *planStream) status() (number int64, streams int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest.number, s.streams
}

// join counts a stream, unless there are as many as may be.
func (s *planStream) join() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams >= maxStreams {
		return false
	}
	s.streams++
	s.following.Inc()
	return true
}

func (s *planStream) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams--
	s.following.Dec()
}

// serve sends plans to one edge until it ends the request, or the planner ends or was deposed.
func (s *planStream) serve(planner context.Context, w http.ResponseWriter, r *http.Request) {
	if !s.join() {
		http.Error(w, "as many edges follow as may", http.StatusServiceUnavailable)
		return
	}
	defer s.leave()
	w.Header().Set("Content-Type", "application/x-ndjson")
	heartbeats := time.NewTicker(heartbeatInterval)
	defer heartbeats.Stop()
	sent := int64(0)
	for {
		plan, changed := s.current()
		if plan.line == nil && sent > 0 {
			return // deposed
		}
		// A slow edge gets the newest plan when it has taken the one before: there is no queue.
		if err := writeNext(w, plan, sent); err != nil {
			return
		}
		if plan.line != nil {
			sent = plan.number
		}
		select {
		case <-changed:
		case <-heartbeats.C:
		case <-r.Context().Done():
			return
		case <-planner.Done():
			return
		}
	}
}

// writeNext writes a plan, or a heartbeat if there is none or it is the one of the number that was sent.
func writeNext(w http.ResponseWriter, plan encodedPlan, sent int64) error {
	line := []byte("\n")
	if plan.line != nil && plan.number != sent {
		line = withUptimeAdded(plan.line, time.Since(plan.madeAt))
	}
	connection := http.NewResponseController(w)
	if err := connection.SetWriteDeadline(time.Now().Add(streamWriteTimeout)); err != nil {
		return err
	}
	if _, err := w.Write(line); err != nil {
		return err
	}
	return connection.Flush()
}

// withUptimeAdded is a plan as it reads some time after it was made: engines have been up for longer.
func withUptimeAdded(line []byte, age time.Duration) []byte {
	if age < minAge {
		return line
	}
	var plan planapi.Plan
	if json.Unmarshal(line, &plan) != nil {
		return line
	}
	for i := range plan.Engines {
		if plan.Engines[i].UptimeMillis > 0 {
			plan.Engines[i].UptimeMillis += age.Milliseconds()
		}
	}
	data, err := json.Marshal(plan)
	if err != nil {
		return line
	}
	return append(data, '\n')
}
