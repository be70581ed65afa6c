package crankentryproof

import (
	"testing"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakefleet"
	"cranberrycrank/standin/crankfakestore"

	"github.com/matryer/is"
)

// The second of two instances that watched a draining worker had seen fewer ends. Its record
// came last, so that a task whose end the first had stored was done again.
func TestEndsThatOnlyOneWitnessSawCount(t *testing.T) {
	const runTime, ends, between, leaves = 10 * time.Second, 100 * time.Millisecond, 300 * time.Millisecond, 550 * time.Millisecond
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(1)
		time.Sleep(settled)
		lost := time.Now().Add(runTime - ends)
		is.NoErr(c.submit("a", "patient", "job1", independentTasks(1, runTime)))
		is.NoErr(c.submit("a", "patient", "job2", independentTasks(1, runTime+between)))
		time.Sleep(time.Second)
		is.Equal(c.fleet.Runs(), 2)
		for i := range 4 {
			c.addWorker(i + 1)
		}
		worker, leader, second := workerID(0), c.leader(), ""
		for _, name := range instanceNames {
			if name != leader {
				second = c.running[name].caller
			}
		}
		time.AfterFunc(time.Until(lost.Add(-3*time.Second)), func() { c.drain(worker) })
		time.AfterFunc(time.Until(lost.Add(ends+between/2)), func() {
			c.update(func() {
				c.workerFaults = func(caller, w, _ string) crankfakefleet.Fault {
					return crankfakefleet.Fault{DropRequest: caller == second && w == worker}
				}
				c.storeFaults = func(caller, call string) crankfakestore.Fault {
					if caller == second && call == "append" {
						return crankfakestore.Fault{Delay: 80 * time.Millisecond}
					}
					return crankfakestore.Fault{}
				}
			})
		})
		time.AfterFunc(time.Until(lost.Add(leaves)), func() {
			c.losePower(worker)
			c.removeEntry(worker)
		})
		time.Sleep(time.Until(lost))
		term := c.termNumber()
		c.kill(leader)
		c.awaitTermAfter(term)
		time.Sleep(5 * time.Second)
		is.Equal(c.fleet.DoneTasks("job1")+c.fleet.DoneTasks("job2"), 2)
		is.Equal(c.fleet.Runs(), 2) // none was done again
		c.ensureAllRunning()
		for _, job := range []string{"job1", "job2"} {
			c.awaitPhase("a", "patient", job, crank.PhaseCompleted, 5*time.Second)
		}
	})
}
