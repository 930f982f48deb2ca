package apclaim_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of property tests, so that every run makes the same checks, unless -rapid.seed is set.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261204")
		_ = flag.Set("rapid.checks", "1000")
	}
	os.Exit(m.Run())
}
