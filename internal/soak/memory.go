package soak

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// edgeMemoryMB is the memory that the configuration of an edge allows, in MiB.
	edgeMemoryMB = 128
	// memoryCheckInterval is how often the memory of the edges is read.
	memoryCheckInterval = 20 * time.Millisecond
)

// AnonymousMemory returns the memory of a process in bytes, without the pages of its program; 0 if the process has ended.
func AnonymousMemory(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, line, _ := strings.Cut(string(status), "RssAnon:")
	size, _, _ := strings.Cut(strings.TrimSpace(line), " ")
	kibibytes, err := strconv.Atoi(size)
	if err != nil {
		return 0 // The process is exiting and has no memory left.
	}
	return kibibytes << 10
}

// watchMemory records a violation for each incarnation of an edge that uses more memory than it may, until ctx ends.
func (r *soakRun) watchMemory(ctx context.Context) {
	exceeded := map[int]bool{}
	for ctx.Err() == nil {
		for _, p := range r.edges {
			pid := p.pid()
			used := AnonymousMemory(pid)
			r.recordMemory(used)
			if used > edgeMemoryMB<<20 && !exceeded[pid] {
				exceeded[pid] = true
				r.recordViolation("%s uses %d MiB and may use %d MiB", p.name(), used>>20, edgeMemoryMB)
			}
		}
		sleep(ctx, memoryCheckInterval)
	}
}

// recordMemory records the memory of an edge for the report.
func (r *soakRun) recordMemory(used int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mostMemory = max(r.mostMemory, used)
}
