package parts

import (
	"sync"
	"time"
)

// Fleet is the state that the engines share: the read states that wait, and the sends that are out. All of it derives from what
// reached the engines.
type Fleet struct {
	// Unrecorded reports whether the sends of a request are left out of the record, as there are too many. Nil stands for none.
	Unrecorded func(request string) bool

	record   *Record
	mu       sync.Mutex
	states   map[string]*state
	sends    []*Send
	releases int
	byName   map[string][]*Send // the sends of each request
}

// Send is one send of a request, from the arrival of its last byte.
type Send struct {
	Request, Engine string
	Writer          bool
	At, Ended       time.Time // Ended is zero while the send is out
	Ran             bool
	waits           bool // the send waits for a read state
}

// state is what is held for a request.
type state struct {
	held  int
	since time.Time
}

// NewFleet returns a fleet without engines.
func NewFleet(record *Record) *Fleet {
	return &Fleet{record: record, states: map[string]*state{}, byName: map[string][]*Send{}}
}

// Sends returns a copy of all sends.
func (f *Fleet) Sends() (all []Send) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.sends {
		all = append(all, *s)
	}
	return all
}

// Held returns since when a state has been held for a request; zero if none is.
func (f *Fleet) Held(request string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.states[request]; s != nil && s.held > 0 {
		return s.since
	}
	return time.Time{}
}

// begin records the arrival of a send.
func (f *Fleet) begin(request, engine string, writer bool) *Send {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := &Send{Request: request, Engine: engine, Writer: writer, At: time.Now(), waits: writer}
	for _, other := range f.byName[request] {
		if other.Ended.IsZero() {
			f.note(request, "%s: send of %s while the one to %s is out on an open connection", engine, request, other.Engine)
		}
	}
	f.sends, f.byName[request] = append(f.sends, s), append(f.byName[request], s)
	f.note(request, "%s: send of %s has arrived", engine, request)
	return s
}

// end records the end of a send.
func (f *Fleet) end(s *Send, how string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.Ended.IsZero() {
		s.Ended, s.waits = time.Now(), false
		f.note(s.Request, "%s: send of %s: %s", s.Engine, s.Request, how)
	}
}

// keep records that a reader holds a state for a request.
func (f *Fleet) keep(request string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.states[request]
	if s == nil {
		s = &state{}
		f.states[request] = s
	}
	s.held, s.since = s.held+1, time.Now()
}

// fetch hands the state of a request to a writer, and reports whether there was one.
func (f *Fleet) fetch(s *Send) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.waits = false
	if held := f.states[s.Request]; held == nil || held.held == 0 {
		return false
	}
	delete(f.states, s.Request)
	s.Ran = true
	return true
}

// release lets go of what is held for a request and no send waits for.
func (f *Fleet) release(request, engine string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.releases++
	for _, s := range f.byName[request] {
		if s.waits {
			return
		}
	}
	if s := f.states[request]; s != nil && s.held > 0 {
		f.note(request, "%s: release of %s", engine, request)
	}
	delete(f.states, request)
}

// SecondCopies returns the pairs of sends of one request that were out at the same time.
func (f *Fleet) SecondCopies() (pairs [][2]Send) {
	all := f.Sends()
	for i, first := range all {
		for _, second := range all[i+1:] {
			if second.Request == first.Request && (first.Ended.IsZero() || second.At.Before(first.Ended)) {
				pairs = append(pairs, [2]Send{first, second})
			}
		}
	}
	return pairs
}

// RanTwice returns the requests that ran more than once at writers.
func (f *Fleet) RanTwice() (requests []string) {
	runs := map[string]int{}
	for _, s := range f.Sends() {
		if s.Ran {
			if runs[s.Request]++; runs[s.Request] == 2 {
				requests = append(requests, s.Request)
			}
		}
	}
	return requests
}

// Releases returns the number of releases that have arrived.
func (f *Fleet) Releases() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.releases
}

// note adds a line on a request to the record.
func (f *Fleet) note(request, format string, args ...any) {
	if f.Unrecorded == nil || !f.Unrecorded(request) {
		f.record.Add(format, args...)
	}
}
