package soak

import (
	"os"
	"testing"
)

func TestDescriptorLimitLeavesOnlySpareDescriptors(t *testing.T) {
	restore, err := LimitFreeDescriptors(os.Getpid(), 2)
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
		t.Errorf("opened %d descriptors, want at most 2", len(open))
	}
}
