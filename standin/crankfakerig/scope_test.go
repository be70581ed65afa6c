package crankfakerig

import (
	"testing"
	"time"

	"cranberrycrank/standin/crankfakeplan"
	"cranberrycrank/standin/crankfakesite"
)

func TestTrafficGoesOnAfterTheLastDisturbance(t *testing.T) {
	site, err := crankfakesite.Read("../../examples/sites/small-hall.ini")
	if err != nil {
		t.Fatal(err)
	}
	site.Bounds.RecoveryTime = 15 * time.Second
	for seed := range uint64(20) {
		plan, jobs := crankfakeplan.Draw(Scope(site), seed), site.Traffic(seed)
		last := plan[len(plan)-1]
		if gap := jobs[len(jobs)-1].At - last.At; gap < 10*time.Second {
			t.Errorf("seed %d: the last job comes %v after the last disturbance, %s", seed, gap, last)
		}
	}
}
