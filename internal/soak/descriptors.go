package soak

import (
	"fmt"
	"os"
	"strconv"
	"time"

	"golang.org/x/sys/unix"
)

// LimitFreeDescriptors lowers the descriptor limit of a process, so that the process can open only spare more descriptors until
// restore is called.
func LimitFreeDescriptors(pid, spare int) (restore func() error, err error) {
	var original unix.Rlimit
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &original); err != nil {
		return nil, fmt.Errorf("get descriptor limit of process %d: %w", pid, err)
	}
	open, err := openDescriptors(pid)
	if err != nil {
		return nil, err
	}
	// RLIMIT_NOFILE bounds the descriptor numbers, not the count of descriptors: unused numbers below the limit can still be
	// allocated.
	limit := 0
	for free := 0; free <= spare; limit++ {
		if !open[strconv.Itoa(limit)] {
			free++
		}
	}
	lowered := unix.Rlimit{Cur: uint64(limit - 1), Max: original.Max}
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &lowered, nil); err != nil {
		return nil, fmt.Errorf("set descriptor limit of process %d: %w", pid, err)
	}
	return func() error { return unix.Prlimit(pid, unix.RLIMIT_NOFILE, &original, nil) }, nil
}

// openDescriptors returns the set of open descriptors of a process, keyed by descriptor number as text.
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
	if pid == os.Getpid() { // The listing contains the descriptor of the opened folder itself.
		delete(open, strconv.Itoa(int(folder.Fd())))
	}
	return open, nil
}

// limitDescriptors lets the process open only spare more descriptors for the given duration.
func (p *edgeProcess) limitDescriptors(spare int, duration time.Duration) error {
	p.mu.Lock()
	pid := p.command.Process.Pid
	p.mu.Unlock()
	restore, err := LimitFreeDescriptors(pid, spare)
	if err != nil {
		return err
	}
	time.Sleep(duration)
	return restore()
}
