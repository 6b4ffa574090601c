// Package parts has what the cases of the second review share: the record, the start of a node by the deploy file, and sound
// stand-ins of the platform's engines, discovery agent and clients. The stand-ins follow the published protocol.
package parts

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Record collects the lines of record.txt. It is safe for concurrent use.
type Record struct {
	mu    sync.Mutex
	start time.Time
	lines []string
}

// NewRecord returns a record whose times count from now.
func NewRecord() *Record { return &Record{start: time.Now()} }

// Seconds returns the time since the start of the record, in seconds.
func (r *Record) Seconds() float64 { return time.Since(r.start).Seconds() }

// Add adds a line with the current time.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f  %s", r.Seconds(), fmt.Sprintf(format, args...)))
}

// Save writes record.txt into a folder.
func (r *Record) Save(folder string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return err
	}
	for _, line := range r.lines {
		fmt.Fprintln(file, line)
	}
	return file.Close()
}

// Trouble reports whether the case is to cause its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Exit statuses of a case.
const (
	Held   = 0
	Broken = 1
	Failed = 2
)

// Main runs a case, saves its record into the folder that is its only argument, and ends the program.
func Main(run func(*Record) (status int, err error)) {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: case FOLDER")
		os.Exit(Failed)
	}
	record := NewRecord()
	record.Add("disruption: %t", Trouble())
	status, err := run(record)
	if err != nil {
		status = Failed
		record.Add("the case could not run: %v", err)
	}
	verdicts := map[int]string{Held: "the rule held", Broken: "the rule was broken", Failed: "the case could not run"}
	record.Add("%s", verdicts[status])
	if err := record.Save(os.Args[1]); err != nil {
		status = Failed
		fmt.Fprintln(os.Stderr, err)
	}
	fmt.Println(verdicts[status])
	os.Exit(status)
}
