package router_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain makes random tests draw the same in every run; -rapid.seed on the command line draws others.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
