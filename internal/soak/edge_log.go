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

// logLine has the fields of an edge's log line that violations quote.
type logLine struct {
	Msg, Rule, Request, Detail string
}

// reportsFault is whether a line of an edge's log reports a fault of the program.
func reportsFault(line []byte) bool {
	return bytes.Contains(line, []byte(`"msg":"`+edge.LogInvariantViolated+`"`)) ||
		bytes.Contains(line, []byte(`"msg":"`+edge.LogPolicyPanicked+`"`))
}

// reportsCrash is whether a line of an edge's log is the Go runtime's last message.
func reportsCrash(line []byte) bool {
	return bytes.HasPrefix(line, []byte("panic:")) || bytes.HasPrefix(line, []byte("fatal error:"))
}

// readLog stores an edge's log, and notes the violations and crashes that it reports.
func (r *soakRun) readLog(name string, incarnation int, from io.Reader) {
	file, err := os.Create(filepath.Join(r.folder, fmt.Sprintf("%s.%d.log", name, incarnation)))
	if err != nil {
		r.violate("log of %s: %v", name, err)
		_, _ = io.Copy(io.Discard, from) // the edge must not wait on its log
		return
	}
	defer file.Close()
	lines := bufio.NewReader(from)
	for {
		line, err := lines.ReadBytes('\n')
		_, _ = file.Write(line) // the file is for people: checks read the line itself
		if reportsFault(line) {
			var l logLine
			if json.Unmarshal(line, &l) == nil {
				r.violate("%s life %d says: %s %s %s %s", name, incarnation, l.Msg, l.Rule, l.Request, l.Detail)
			}
		}
		if reportsCrash(line) {
			r.violate("%s life %d: %s", name, incarnation, strings.TrimSpace(string(line)))
		}
		if err != nil {
			return
		}
	}
}
