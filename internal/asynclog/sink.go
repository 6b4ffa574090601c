// Package asynclog writes log lines on a goroutine of its own, so that a caller that logs never waits for the reader of the
// log. When the reader stalls, lines are dropped and counted.
package asynclog

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// maxPendingLines is some seconds of a busy router's log, some hundred kilobytes.
	maxPendingLines = 1024
	// syncTimeout is how long Sync waits for a reader that may have stalled.
	syncTimeout = 200 * time.Millisecond
	// droppedLine reports the number of dropped lines, in the form of the other log lines.
	droppedLine = `{"level":"warn","msg":"log lines dropped","count":%d}` + "\n"
)

// Sink is a zapcore.WriteSyncer whose Write never blocks.
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

// Write queues a copy of a line. It reports success even if the line is dropped: a caller cannot do anything about a fault
// of the log.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- bytes.Clone(line):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped is the number of dropped lines that the log does not report yet.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Sync waits until the lines so far are written, or until a short timeout.
func (s *Sink) Sync() error {
	done := make(chan struct{})
	timeout := time.After(syncTimeout)
	select {
	case s.flushes <- done:
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

// write writes one line, after a report of those that were dropped before it. Errors of the log's own writer cannot be
// reported anywhere.
func (s *Sink) write(w io.Writer, line []byte) {
	if count := s.dropped.Swap(0); count > 0 {
		fmt.Fprintf(w, droppedLine, count)
	}
	_, _ = w.Write(line) // there is nowhere to report that the log is gone
}
