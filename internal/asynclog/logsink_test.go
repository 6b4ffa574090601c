package asynclog

import (
	"bytes"
	"strings"
	"sync"
	"testing"
)

// stalled is a writer that waits until it is told to go on.
type stalled struct {
	goOn chan struct{}
	mu   sync.Mutex
	got  bytes.Buffer
}

func (w *stalled) Write(data []byte) (int, error) {
	<-w.goOn
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.got.Write(data)
}

func TestWriteNeverBlocks(t *testing.T) {
	w := &stalled{goOn: make(chan struct{})}
	s := New(w)
	for range 3 * maxPendingLines {
		if _, err := s.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if s.Dropped() < maxPendingLines {
		t.Errorf("%d lines were dropped, though nobody read and %d of %d fit", s.Dropped(), maxPendingLines, 3*maxPendingLines)
	}
	close(w.goOn)
	s.Sync()
	w.mu.Lock()
	defer w.mu.Unlock()
	if text := w.got.String(); !strings.Contains(text, "log lines dropped") || strings.Count(text, "line\n") < maxPendingLines {
		t.Errorf("what was kept is written, and what was dropped is told of; got %d bytes", len(text))
	}
}

func TestLineIsCopied(t *testing.T) {
	var got bytes.Buffer
	s := New(&got)
	line := []byte("first\n")
	s.Write(line)
	copy(line, "other\n")
	s.Sync()
	if got.String() != "first\n" {
		t.Errorf("got %q: the caller's buffer was used again", got.String())
	}
}
