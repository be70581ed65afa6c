package cranksoak

import (
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"cranberrycrank/standin/crankfakeplan"
	"cranberrycrank/standin/crankfakerig"
	"cranberrycrank/standin/crankfakesite"
)

var (
	seedCount = flag.Int("seeds", 2, "number of seeds to run, starting with -first")
	firstSeed = flag.Uint64("first", 1, "first seed")
	logDir    = flag.String("logs", "", "directory for the logs of the processes")
	sitePath  = flag.String("site", "../../examples/sites/small-hall.ini", "description of the site")
)

// regressionSeeds maps each seed that has failed to the cause of its failure.
var regressionSeeds = map[uint64]string{}

func TestSoak(t *testing.T) {
	binary := build(t)
	site, err := crankfakesite.Read(*sitePath)
	if err != nil {
		t.Fatal(err)
	}
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { soak(t, binary, site, seed, nil) })
	}
	for seed, cause := range regressionSeeds {
		t.Run(cause, func(t *testing.T) { soak(t, binary, site, seed, nil) })
	}
}

// TestSoakOfMixedJobs plays the seed of a site with all kinds of jobs and of unfit workers.
func TestSoakOfMixedJobs(t *testing.T) {
	t.Parallel()
	site, err := crankfakesite.Read("../../examples/sites/mixed-hall.ini")
	if err != nil {
		t.Fatal(err)
	}
	soak(t, build(t), site, *firstSeed, nil)
}

func build(t *testing.T, flags ...string) string {
	binary := filepath.Join(t.TempDir(), "cranberrycrank")
	out, err := exec.Command("go", append(append([]string{"build"}, flags...), "-o", binary, "cranberrycrank/cmd/cranberrycrank")...).CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

// soak plays a plan, or the seed's if it is nil. No rule may be broken, and every
// instance must report every accepted job as completed in the end.
func soak(t *testing.T, binary string, site crankfakesite.Site, seed uint64, plan crankfakeplan.Plan) {
	dir := t.TempDir()
	if *logDir != "" {
		dir = filepath.Join(*logDir, filepath.Base(t.Name()))
		if err := os.MkdirAll(dir, 0o755); err != nil {
			t.Fatal(err)
		}
	}
	rig, err := crankfakerig.New(crankfakerig.Config{
		Binary: binary, Site: site, Seed: seed, Plan: plan, Directory: dir, AskEverywhere: true,
		Logger: slog.New(slog.NewTextHandler(t.Output(), nil)),
	})
	if err != nil {
		t.Fatal(err)
	}
	report, err := rig.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	report.Print(t.Output())
	if report.Broken() {
		t.Error("rules are broken")
	}
	if len(report.Unfinished) > 0 {
		t.Errorf("jobs not completed: %v", report.Unfinished)
	}
}
