package crankentryproof

import (
	"testing"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakefleet"

	"github.com/matryer/is"
)

// Best-effort tasks that got no processor time had their workers quarantined.
func TestBestEffortTaskWithoutProgressDoesNotQuarantineItsWorker(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(2)
		time.Sleep(settled)
		starved := true
		c.fleet.UpdateConfig(func(f *crankfakefleet.Config) { f.Stuck = func(string) bool { return starved } })
		filler := independentTasks(2, 2*time.Second)
		filler.BestEffort, filler.MaxPerWorker = true, 1
		is.NoErr(c.submit("a", "patient", "filler", filler))
		time.Sleep(3500 * time.Millisecond)
		c.fleet.UpdateConfig(func(*crankfakefleet.Config) { starved = false })
		is.NoErr(c.submit("a", "patient", "job1", independentTasks(2, time.Second)))
		c.awaitPhase("a", "patient", "job1", crank.PhaseCompleted, 2*time.Second)
		c.awaitPhase("a", "patient", "filler", crank.PhaseCompleted, 12*time.Second)
	})
}
