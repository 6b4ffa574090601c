package soak

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"sandcourse/internal/edge"
)

// logLine holds the fields of an edge's log line that a recorded violation quotes.
type logLine struct {
	Msg, Rule, Request, Detail string
}

// reportsFault reports whether a line of an edge's log is about a violated invariant or a panic of the policy.
func reportsFault(line []byte) bool {
	return bytes.Contains(line, []byte(`"msg":"`+edge.LogInvariantViolated+`"`)) ||
		bytes.Contains(line, []byte(`"msg":"`+edge.LogPolicyPanicked+`"`))
}

// reportsCrash reports whether a line of an edge's log is the message with which the Go runtime ends a process.
func reportsCrash(line []byte) bool {
	return bytes.HasPrefix(line, []byte("panic:")) || bytes.HasPrefix(line, []byte("fatal error:"))
}

// readLog copies an edge's log to a file and records the violations and crashes in it.
func (r *soakRun) readLog(name string, incarnation int, from io.Reader) {
	file, err := os.Create(filepath.Join(r.folder, fmt.Sprintf("%s.%d.log", name, incarnation)))
	if err != nil {
		r.recordViolation("log of %s: %v", name, err)
		_, _ = io.Copy(io.Discard, from) // The rest is read to keep the edge from blocking on a full pipe.
		return
	}
	defer file.Close()
	lines := bufio.NewReader(from)
	for {
		line, err := lines.ReadBytes('\n')
		_, _ = file.Write(line) // The file is only for debugging; the checks below use line.
		if reportsFault(line) {
			var l logLine
			if json.Unmarshal(line, &l) == nil {
				r.recordViolation("%s incarnation %d reports: %s %s %s %s", name, incarnation, l.Msg, l.Rule, l.Request, l.Detail)
			}
		}
		if reportsCrash(line) {
			r.recordViolation("%s incarnation %d: %s", name, incarnation, strings.TrimSpace(string(line)))
		}
		if err != nil {
			return
		}
	}
}
