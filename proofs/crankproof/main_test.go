package crankproof

import (
	"flag"
	"os"
	"testing"
)

// fixedSeed is the default rapid seed, so that every run draws the same
// sessions; the flag -rapid.seed overrides it.
const fixedSeed = "20261204"

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", fixedSeed); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
