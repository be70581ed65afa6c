package crankentryproof

import (
	"testing"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakefleet"

	"github.com/matryer/is"
)

// Tasks of an earlier term waited for ever for a worker that answered, but with rows that
// could not be read.
func TestWorkerWithUnreadableRowsHoldsUpNoTaskForLong(t *testing.T) {
	const worker = "w03"
	for _, v := range []struct {
		name string
		odd  time.Duration // from the loss of the leader on
	}{{"for_good", time.Hour}, {"for_a_while", 2 * time.Second}} {
		t.Run(v.name, func(t *testing.T) {
			runInCluster(t, func(t *testing.T, c *cluster) {
				is := is.New(t)
				c.setUp(8)
				time.Sleep(settled)
				is.NoErr(c.submit("a", "patient", "job1", independentTasks(40, 15*time.Second)))
				time.Sleep(time.Second)
				until := time.Now().Add(v.odd)
				c.fleet.UpdateConfig(func(f *crankfakefleet.Config) {
					f.Odd = func(id string) bool { return id == worker && time.Now().Before(until) }
				})
				c.cutWorker(workerID(0)) // its tasks wait for its lease
				c.kill(c.leader())
				c.awaitPhase(c.notLeader(), "patient", "job1", crank.PhaseCompleted, 45*time.Second)
			})
		})
	}
}
