package neterr

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
)

func dialError(no syscall.Errno) error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", no)}
}

func TestIsLocal(t *testing.T) {
	for _, no := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH,
		syscall.ECONNABORTED, syscall.EINTR} {
		if !IsLocal(dialError(no)) {
			t.Errorf("%v is taken for the other side's", no)
		}
	}
	for _, no := range []syscall.Errno{syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.EPIPE} {
		if IsLocal(dialError(no)) {
			t.Errorf("%v is taken for this machine's", no)
		}
	}
	if !IsLocal(context.Canceled) || IsLocal(context.DeadlineExceeded) || IsLocal(nil) {
		t.Error("a call that this side gave up is its own, one that ran out of time is not")
	}
}
