package crankentryproof

import (
	"testing"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakeplatform"

	"github.com/matryer/is"
)

// restartWithClockSetBack starts a new incarnation of a worker under its ID, whose start
// time is earlier than that of the one before.
func (c *cluster) restartWithClockSetBack(id string) {
	var e crank.WorkerEntry
	c.update(func() { e = c.workerEntries[id] })
	e.Draining = false
	e = c.fleet.AddAt(e, time.UnixMilli(e.StartTimeMs).Add(-time.Minute))
	c.update(func() {
		c.workerEntries[id] = e
		delete(c.down, id)
	})
	c.store.Put(crank.WorkerTopic, id, crankfakeplatform.EncodeEntry(e))
}

// A worker that had left in order and had started again with its clock set back counted as
// gone as soon as its entry expired behind a cut, while its runs went on under a good lease.
func TestWorkerBackWithAnEarlierStartTimeKeepsItsLease(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(2)
		time.Sleep(settled)
		worker := workerID(0)
		c.drain(worker)
		time.Sleep(3 * time.Second)
		c.leave(worker)
		time.Sleep(10 * time.Millisecond) // a heartbeat that is being written comes before the removal
		c.removeEntry(worker)
		time.Sleep(3 * time.Second)
		c.restartWithClockSetBack(worker)
		time.Sleep(3 * time.Second)
		log := c.recordStarts()
		is.NoErr(c.submit("a", "patient", "job1", independentTasks(10, 12*time.Second)))
		time.Sleep(2 * time.Second)
		is.True(len(log.tasksAt("job1", worker)) > 0)
		time.AfterFunc(entryLifetime, func() { c.removeEntry(worker) })
		c.update(func() { c.silent[worker] = true })
		time.Sleep(1400 * time.Millisecond)
		c.cutAfterRenewal(worker)
		time.Sleep(8 * time.Second)
		c.reconnectWorker(worker)
		c.awaitPhase("a", "patient", "job1", crank.PhaseCompleted, 30*time.Second)
	})
}
