package router_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the seed of random tests, so that they draw the same values in every run; -rapid.seed on the command line
// sets another one.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
