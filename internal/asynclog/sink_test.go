package asynclog

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
)

// stalledWriter is a writer whose Write blocks until resume is closed.
type stalledWriter struct {
	blocked chan struct{} // channel that receives a value once a write has begun
	resume  chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (w *stalledWriter) Write(data []byte) (int, error) {
	select {
	case w.blocked <- struct{}{}:
	default:
	}
	<-w.resume
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(data)
}

func TestWriteNeverBlocks(t *testing.T) {
	w := &stalledWriter{blocked: make(chan struct{}, 1), resume: make(chan struct{})}
	s := New(w)
	write := func(lines int) {
		for range lines {
			if _, err := s.Write([]byte("line\n")); err != nil {
				t.Fatal(err)
			}
		}
	}
	write(1)
	<-w.blocked // From this point on, the sink removes no line from the queue.
	write(3 * maxPendingLines)
	if want := int64(2 * maxPendingLines); s.Dropped() != want {
		t.Errorf("%d lines were dropped, want %d", s.Dropped(), want)
	}
	close(w.resume)
	s.Sync()
	w.mu.Lock()
	defer w.mu.Unlock()
	text := w.written.String()
	if report := fmt.Sprintf(droppedLine, 2*maxPendingLines); strings.Count(text, report) != 1 {
		t.Error("the dropped lines are not reported exactly once")
	}
	if written := strings.Count(text, "line\n"); written != maxPendingLines+1 {
		t.Errorf("%d lines were written, want %d", written, maxPendingLines+1)
	}
}

func TestWriteCopiesLine(t *testing.T) {
	var got bytes.Buffer
	s := New(&got)
	line := []byte("first\n")
	s.Write(line)
	copy(line, "other\n")
	s.Sync()
	if got.String() != "first\n" {
		t.Errorf("got %q: the caller's buffer was not copied", got.String())
	}
}
