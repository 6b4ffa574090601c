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

// Limits of plan streams.
const (
	maxStreams         = 5000
	heartbeatInterval  = time.Second // interval of empty lines on a stream without a new plan
	streamWriteTimeout = 5 * time.Second
	minAgeToAdjust     = 50 * time.Millisecond // The uptimes of a plan younger than minAgeToAdjust are sent unchanged.
)

// planStream holds the newest plan and sends it to all edges that follow the planner.
type planStream struct {
	streamGauge prometheus.Gauge

	mu      sync.Mutex
	newest  encodedPlan
	changed chan struct{} // channel that is closed at the next change
	streams int
}

// encodedPlan is a plan encoded as a line of the stream.
type encodedPlan struct {
	line   []byte // encoded plan; nil if there is no plan
	number int64
	madeAt time.Time
}

func newPlanStream(streamGauge prometheus.Gauge) *planStream {
	return &planStream{streamGauge: streamGauge, changed: make(chan struct{})}
}

// publish sets the newest plan.
func (s *planStream) publish(line []byte, number int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newest = encodedPlan{line: line, number: number, madeAt: time.Now()}
	s.notify()
}

// close removes the plan, which ends all streams on which a plan was sent.
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

// status returns the number of the newest plan and the number of streams.
func (s *planStream) status() (number int64, streams int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest.number, s.streams
}

// addStream counts a new stream. It returns false if there are already maxStreams.
func (s *planStream) addStream() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams >= maxStreams {
		return false
	}
	s.streams++
	s.streamGauge.Inc()
	return true
}

func (s *planStream) removeStream() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams--
	s.streamGauge.Dec()
}

// serve sends plans to one edge until the edge closes the request, or the planner stops or is deposed.
func (s *planStream) serve(plannerCtx context.Context, w http.ResponseWriter, r *http.Request) {
	if !s.addStream() {
		http.Error(w, "too many edges follow the planner", http.StatusServiceUnavailable)
		return
	}
	defer s.removeStream()
	w.Header().Set("Content-Type", "application/x-ndjson")
	heartbeats := time.NewTicker(heartbeatInterval)
	defer heartbeats.Stop()
	sent := int64(0)
	for {
		plan, changed := s.current()
		if plan.line == nil && sent > 0 {
			return // The planner was deposed.
		}
		// Plans are not queued: a slow edge gets the newest plan after it has received the previous one.
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
		case <-plannerCtx.Done():
			return
		}
	}
}

// writeNext writes a plan, or a heartbeat if there is no plan or its number has already been sent.
func writeNext(w http.ResponseWriter, plan encodedPlan, sent int64) error {
	line := []byte("\n")
	if plan.line != nil && plan.number != sent {
		line = adjustUptimes(plan.line, time.Since(plan.madeAt))
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

// adjustUptimes adds the age of an encoded plan to the uptimes of its engines.
func adjustUptimes(line []byte, age time.Duration) []byte {
	if age < minAgeToAdjust {
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
