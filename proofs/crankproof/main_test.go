package crankproof

import (
	"flag"
	"os"
	"testing"
)

// fixedSeed makes every run draw the same sessions unless another seed is
// given.
const fixedSeed = "20261204"

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", fixedSeed); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
