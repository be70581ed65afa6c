package crankentryproof

import (
	"strings"
	"testing"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakefleet"

	"github.com/matryer/is"
)

// A run that ended at a worker that only the leader could not reach was done again once its
// lease was over, although other instances had seen the end.
func TestEndAtAWorkerThatOnlyTheLeaderCannotReachCounts(t *testing.T) {
	const runTime, leaseLeft = 12 * time.Second, 6 * time.Second
	for _, ends := range []time.Duration{1 * time.Second, 3 * time.Second, 5 * time.Second} { // after the cut
		t.Run(ends.String(), func(t *testing.T) {
			runInCluster(t, func(t *testing.T, c *cluster) {
				is := is.New(t)
				c.setUp(8)
				time.Sleep(settled)
				log := c.recordStarts()
				is.NoErr(c.submit("a", "patient", "job1", independentTasks(1, runTime)))
				time.Sleep(500 * time.Millisecond)
				first := crank.TaskID{Job: "job1"}
				worker, leader := log.workerOf(first), c.leader()
				cut := log.started("job1")[first].Add(runTime - ends)
				time.Sleep(time.Until(cut))
				c.update(func() {
					c.workerFaults = func(caller, w, _ string) crankfakefleet.Fault {
						return crankfakefleet.Fault{DropRequest: w == worker && strings.HasPrefix(caller, leader+"#")}
					}
				})
				time.Sleep(ends)
				c.awaitPhase("a", "patient", "job1", crank.PhaseCompleted, time.Until(cut.Add(leaseLeft)))
				time.Sleep(12 * time.Second)
				is.Equal(c.fleet.Runs(), 1) // it was not done again
				clearWorkerFaults(c)
			})
		})
	}
}
