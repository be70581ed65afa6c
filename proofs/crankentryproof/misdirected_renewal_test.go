package crankentryproof

import (
	"testing"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakefleet"
	"cranberrycrank/standin/crankfakeplatform"

	"github.com/matryer/is"
)

// restartDuringRenewal restarts a worker while a renewal is on its way, which reaches the
// next incarnation.
func (c *cluster) restartDuringRenewal(worker string) {
	const transit = 300 * time.Millisecond
	sent := make(chan bool)
	c.update(func() {
		c.workerFaults = func(_, w, call string) crankfakefleet.Fault {
			if w != worker || call != "hold" {
				return crankfakefleet.Fault{}
			}
			c.workerFaults = nil
			close(sent)
			return crankfakefleet.Fault{TransitTime: transit}
		}
	})
	<-sent
	c.fleet.Crash(worker)
	c.restart(worker)
	time.Sleep(transit)
	var next crank.WorkerEntry
	c.update(func() { next = c.workerEntries[worker] })
	c.store.Put(crank.WorkerTopic, worker, crankfakeplatform.EncodeEntry(next))
}

// A renewal that reached a worker's next incarnation, whose clock had started anew, extended
// the lease there beyond the bound of its leader. A successor started its tasks elsewhere
// while they went on under that lease.
func TestRenewalThatReachedTheNextIncarnationKeepsTheBound(t *testing.T) {
	bounds := leaseBounds
	bounds.MaxLease = 10 * time.Second // more than a leader grants
	playWithBounds(t, bounds, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(2)
		time.Sleep(settled)
		worker := workerID(0)
		c.restartDuringRenewal(worker)
		time.Sleep(500 * time.Millisecond)
		log := c.recordStarts()
		is.NoErr(c.submit("a", "patient", "job1", independentTasks(10, 20*time.Second)))
		time.Sleep(100 * time.Millisecond)
		is.True(len(log.tasksAt("job1", worker)) > 0)
		c.cutWorker(worker)
		c.kill(c.leader())
		time.Sleep(15 * time.Second)
		c.reconnectWorker(worker)
		c.ensureAllRunning()
		c.awaitPhase("a", "patient", "job1", crank.PhaseCompleted, 60*time.Second)
	}, func(t *testing.T, violation string) { t.Error(violation) })
}
