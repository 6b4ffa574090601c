// Package neterr tells network errors of this machine from those of the other side of a connection. It does no I/O.
package neterr

import (
	"context"
	"errors"
	"slices"
	"syscall"
)

// localErrnos are the errors of system calls that a shortage on this machine causes: of descriptors, memory, ports or
// routes. The other side cannot cause them.
var localErrnos = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC,
	syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.EAGAIN,
	syscall.ENETUNREACH, syscall.ENETDOWN,
	syscall.ECONNABORTED, syscall.EINTR,
}

// IsLocal reports whether an error is caused by this machine alone: it must not count against the other side, and the same
// call may succeed a moment later.
func IsLocal(err error) bool {
	if errors.Is(err, context.Canceled) {
		return true // this side has canceled the call
	}
	return slices.ContainsFunc(localErrnos, func(errno syscall.Errno) bool { return errors.Is(err, errno) })
}
