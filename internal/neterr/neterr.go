// Package neterr distinguishes network errors caused by this machine from those caused by the peer. It does no I/O.
package neterr

import (
	"context"
	"errors"
	"slices"
	"syscall"
)

// localErrnos are the system call errors that are not failures of the peer: shortages of file descriptors, memory, ports or
// routes on this machine, and aborted or interrupted calls.
var localErrnos = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC,
	syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.EAGAIN,
	syscall.ENETUNREACH, syscall.ENETDOWN,
	syscall.ECONNABORTED, syscall.EINTR,
}

// IsLocal reports whether an error is caused by this machine alone. Such an error must not count as a failure of the peer,
// and the same call may succeed a moment later.
func IsLocal(err error) bool {
	if errors.Is(err, context.Canceled) {
		return true // This process canceled the call.
	}
	return slices.ContainsFunc(localErrnos, func(errno syscall.Errno) bool { return errors.Is(err, errno) })
}
