package neterr

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
)

func dialError(errno syscall.Errno) error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", errno)}
}

func TestIsLocal(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH,
		syscall.ECONNABORTED, syscall.EINTR} {
		if !IsLocal(dialError(errno)) {
			t.Errorf("%v does not count as local", errno)
		}
	}
	for _, errno := range []syscall.Errno{syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.EPIPE} {
		if IsLocal(dialError(errno)) {
			t.Errorf("%v counts as local", errno)
		}
	}
	if !IsLocal(context.Canceled) || IsLocal(context.DeadlineExceeded) || IsLocal(nil) {
		t.Error("a canceled call must count as local; an exceeded deadline and nil must not")
	}
}
