package cranksoak

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"cranberrycrank/standin/crankfakeplan"
	"cranberrycrank/standin/crankfakesite"
)

// TestSilentWorkersLostWithTheLeader guards against jobs that stand still for up to
// twice the longest lease after a new leader took over (issue 35).
func TestSilentWorkersLostWithTheLeader(t *testing.T) {
	t.Parallel()
	site, err := crankfakesite.Read("../../examples/sites/small-hall.ini")
	if err != nil {
		t.Fatal(err)
	}
	site.Bounds.LongestLease = 10 * time.Second
	for n := range site.Classes {
		site.Classes[n].Run = 4 * time.Second
	}
	soak(t, build(t), site, 1, readPlan(t, "silent-workers-lost-with-the-leader.txt"))
}

func readPlan(t *testing.T, name string) crankfakeplan.Plan {
	f, err := os.Open(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	plan, err := crankfakeplan.Read(f)
	if err != nil {
		t.Fatal(err)
	}
	return plan
}
