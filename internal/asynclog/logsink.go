// Package logsink writes log lines on a goroutine of its own, so that whoever logs never waits for the log's reader.
// Where the reader stalls, lines are dropped and counted.
package asynclog

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// maxPendingLines is how many lines wait at most: some seconds of a busy node, some hundred kilobytes.
	maxPendingLines = 1024
	// syncTimeout is how long Sync waits for a reader that may have stalled.
	syncTimeout = 200 * time.Millisecond
)

// Sink is a zapcore.WriteSyncer that never blocks in Write.
type Sink struct {
	lines   chan []byte
	flushes chan chan struct{}
	dropped atomic.Int64
}

// New starts a sink that writes to w until the process ends.
func New(w io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, maxPendingLines), flushes: make(chan chan struct{}, 1)}
	go s.run(w)
	return s
}

// Write hands over a copy of a line. It reports success also where the line is dropped: the log's trouble is not its
// caller's.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped is how many lines were dropped and not told of yet.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Sync waits until the lines so far are written, or for a moment.
func (s *Sink) Sync() error {
	done := make(chan struct{})
	late := time.After(syncTimeout)
	select {
	case s.flushes <- done:
	case <-late:
		return nil
	}
	select {
	case <-done:
	case <-late:
	}
	return nil
}

func (s *Sink) run(w io.Writer) {
	for {
		select {
		case line := <-s.lines:
			s.write(w, line)
		case done := <-s.flushes:
			s.drain(w)
			close(done)
		}
	}
}

func (s *Sink) drain(w io.Writer) {
	for {
		select {
		case line := <-s.lines:
			s.write(w, line)
		default:
			return
		}
	}
}

// write passes one line on, and tells first of those that are missing before it. An error has no one to be told to.
func (s *Sink) write(w io.Writer, line []byte) {
	if n := s.dropped.Swap(0); n > 0 {
		fmt.Fprintf(w, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"count\":%d}\n", n)
	}
	w.Write(line)
}
