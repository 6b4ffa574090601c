package standin

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the record of a run: what was sent, answered and run, each line with the time since the start.
type Record struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
}

func newRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{start: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// Printf adds a line.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.4f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// Result adds a line and prints it.
func (r *Record) Result(format string, args ...any) {
	r.Printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *Record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}
