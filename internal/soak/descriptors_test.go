package soak

import (
	"os"
	"testing"
)

func TestLeaveDescriptors(t *testing.T) {
	restore, err := LeaveDescriptors(os.Getpid(), 2)
	if err != nil {
		t.Fatal(err)
	}
	var open []*os.File
	for {
		f, err := os.Open(os.DevNull)
		if err != nil {
			break
		}
		open = append(open, f)
	}
	if err := restore(); err != nil {
		t.Fatal(err)
	}
	for _, f := range open {
		f.Close()
	}
	if len(open) > 2 {
		t.Errorf("%d descriptors could be had, 2 were left", len(open))
	}
}
