package soak

import (
	"fmt"
	"os"
	"strconv"
	"time"

	"golang.org/x/sys/unix"
)

// LeaveDescriptors lowers a process's limit so that it can open so many more descriptors, until restore is called.
func LeaveDescriptors(pid, more int) (restore func() error, err error) {
	var before unix.Rlimit
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &before); err != nil {
		return nil, fmt.Errorf("get descriptor limit of process %d: %w", pid, err)
	}
	open, err := openDescriptors(pid)
	if err != nil {
		return nil, err
	}
	// The limit is on the numbers of descriptors, not on their count: unused numbers below it can be opened.
	limit := 0
	for free := 0; free <= more; limit++ {
		if !open[strconv.Itoa(limit)] {
			free++
		}
	}
	lowered := unix.Rlimit{Cur: uint64(limit - 1), Max: before.Max}
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &lowered, nil); err != nil {
		return nil, fmt.Errorf("set descriptor limit of process %d: %w", pid, err)
	}
	return func() error { return unix.Prlimit(pid, unix.RLIMIT_NOFILE, &before, nil) }, nil
}

// openDescriptors returns the set of a process's descriptors, by their numbers as text.
func openDescriptors(pid int) (map[string]bool, error) {
	folder, err := os.Open(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return nil, err
	}
	defer folder.Close()
	names, err := folder.Readdirnames(-1)
	if err != nil {
		return nil, err
	}
	open := map[string]bool{}
	for _, name := range names {
		open[name] = true
	}
	if pid == os.Getpid() { // the descriptor of this folder
		delete(open, strconv.Itoa(int(folder.Fd())))
	}
	return open, nil
}

// limitDescriptors leaves the process a few descriptors more than it has open, for a time.
func (p *edgeProcess) limitDescriptors(more int, duration time.Duration) error {
	p.mu.Lock()
	pid := p.command.Process.Pid
	p.mu.Unlock()
	restore, err := LeaveDescriptors(pid, more)
	if err != nil {
		return err
	}
	time.Sleep(duration)
	return restore()
}
