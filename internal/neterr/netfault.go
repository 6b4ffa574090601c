// Package netfault tells errors of this machine from those of the other side of a connection. It does no I/O.
package neterr

import (
	"context"
	"errors"
	"slices"
	"syscall"
)

// localErrnos are the errors of system calls that come from a want of this machine: descriptors, memory, ports or a route.
// What the other side does or is cannot cause them.
var localErrnos = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC,
	syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.EAGAIN,
	syscall.ENETUNREACH, syscall.ENETDOWN,
	syscall.ECONNABORTED, syscall.EINTR,
}

// IsLocal is whether an error says something of this machine alone, so that it must not count against the other side, and
// the same call may succeed a moment later.
func IsLocal(err error) bool {
	if errors.Is(err, context.Canceled) {
		return true // this side has given up
	}
	return slices.ContainsFunc(localErrnos, func(no syscall.Errno) bool { return errors.Is(err, no) })
}
