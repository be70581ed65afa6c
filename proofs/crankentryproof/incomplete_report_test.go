package crankentryproof

import (
	"testing"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakefleet"

	"github.com/matryer/is"
)

// The stored limit of a lease left out what the leader had extended for a worker of the
// inherited roster whose report was incomplete. A successor started its tasks elsewhere
// while they went on.
func TestLeaseOfAWorkerWithAnIncompleteReportIsStoredWhole(t *testing.T) {
	bounds := leaseBounds
	bounds.MaxLease = 10 * time.Second
	playWithBounds(t, bounds, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(3)
		time.Sleep(settled)
		log := c.recordStarts()
		is.NoErr(c.submit("a", "patient", "job1", independentTasks(10, 40*time.Second)))
		time.Sleep(2 * time.Second)
		worker, term := log.workerOf(crank.TaskID{Job: "job1"}), c.termNumber()
		c.update(func() { c.unreachable[worker] = true })
		c.fleet.UpdateConfig(func(f *crankfakefleet.Config) { f.Odd = func(id string) bool { return id == worker } })
		c.kill(c.leader())
		c.awaitTermAfter(term)
		time.Sleep(500 * time.Millisecond) // one renewal fails
		c.update(func() {
			delete(c.unreachable, worker)
			c.logDelay[c.running[c.leader()].caller] = 20 * time.Millisecond // the lease is extended before the report is handled
		})
		time.Sleep(time.Second)
		c.cutWorker(worker)
		time.Sleep(4500 * time.Millisecond)
		c.kill(c.leader())
		time.Sleep(12 * time.Second)
		c.fleet.UpdateConfig(func(f *crankfakefleet.Config) { f.Odd = nil })
		c.reconnectWorker(worker)
		c.ensureAllRunning()
		c.awaitPhase("c", "patient", "job1", crank.PhaseCompleted, 90*time.Second)
	}, func(t *testing.T, violation string) { t.Error(violation) })
}
