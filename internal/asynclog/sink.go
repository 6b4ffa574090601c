// Package asynclog writes log lines on a separate goroutine, so that a caller that logs never waits for the reader of the
// log. If the reader stalls, lines are dropped and counted.
package asynclog

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// maxPendingLines is the queue length: some seconds of a busy router's log, some hundred kilobytes.
	maxPendingLines = 1024
	// syncTimeout is how long Sync waits, because the reader may have stalled.
	syncTimeout = 200 * time.Millisecond
	// droppedLine is the format of the log line that reports the number of dropped lines; it matches the other log lines.
	droppedLine = `{"level":"warn","msg":"log lines dropped","count":%d}` + "\n"
)

// Sink is a zapcore.WriteSyncer whose Write never blocks.
type Sink struct {
	lines        chan []byte
	syncRequests chan chan struct{}
	dropped      atomic.Int64
}

// New starts a sink that writes to w until the process ends.
func New(w io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, maxPendingLines), syncRequests: make(chan chan struct{}, 1)}
	go s.run(w)
	return s
}

// Write queues a copy of a line. It reports success even if the line is dropped, because callers cannot handle log errors.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- bytes.Clone(line):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines that have not been reported in the log yet.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Sync waits until all queued lines are written, but not longer than syncTimeout.
func (s *Sink) Sync() error {
	done := make(chan struct{})
	timeout := time.After(syncTimeout)
	select {
	case s.syncRequests <- done:
	case <-timeout:
		return nil
	}
	select {
	case <-done:
	case <-timeout:
	}
	return nil
}

func (s *Sink) run(w io.Writer) {
	for {
		select {
		case line := <-s.lines:
			s.write(w, line)
		case done := <-s.syncRequests:
			s.writeQueued(w)
			close(done)
		}
	}
}

func (s *Sink) writeQueued(w io.Writer) {
	for {
		select {
		case line := <-s.lines:
			s.write(w, line)
		default:
			return
		}
	}
}

// write writes one line, after a report of the lines that were dropped before it.
func (s *Sink) write(w io.Writer, line []byte) {
	if count := s.dropped.Swap(0); count > 0 {
		fmt.Fprintf(w, droppedLine, count)
	}
	_, _ = w.Write(line) // An error of the log's writer cannot be reported.
}
