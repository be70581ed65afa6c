package crankentryproof

import (
	"testing"
	"time"

	crank "cranberrycrank"

	"github.com/matryer/is"
)

// An unlisted worker that turned out to have started again was forgotten before its runs
// were known. Its next incarnation then accounted for nothing, and the tasks waited 17 s.
func TestRestartOfAnUnlistedWorkerAccountsForItsRuns(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(4)
		time.Sleep(settled)
		log := c.recordStarts()
		is.NoErr(c.submit("a", "patient", "job1", independentTasks(1, 12*time.Second)))
		time.Sleep(time.Second)
		worker := log.workerOf(crank.TaskID{Job: "job1"})
		c.cutWorker(worker)
		c.losePower(worker)
		c.removeEntry(worker)
		term := c.termNumber()
		c.kill(c.leader())
		c.restart(worker)
		c.update(func() { delete(c.unreachable, worker) })
		c.awaitTermAfter(term)
		time.Sleep(time.Second)
		c.reconnectWorker(worker)
		time.Sleep(5 * time.Second)
		is.Equal(c.fleet.Runs(), 2) // the task runs again
		c.ensureAllRunning()
		c.awaitPhase("a", "patient", "job1", crank.PhaseCompleted, 20*time.Second)
	})
}

// An incarnation of a roster without addresses stayed in the roster after its lease had
// expired, so that each later term waited for it again.
func TestExpiredIncarnationHoldsUpOneTermOnly(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.store.Put(crank.JobTopic, "roster", []byte(`{"term":0,"lives":["w99/946684700000"]}`))
		c.setUp(4)
		time.Sleep(25 * time.Second) // until its lease has expired
		c.addWorker(4)               // changes the roster
		log := c.recordStarts()
		is.NoErr(c.submit("a", "patient", "job1", independentTasks(1, 12*time.Second)))
		time.Sleep(time.Second)
		worker := log.workerOf(crank.TaskID{Job: "job1"})
		c.losePower(worker)
		c.restart(worker)
		term := c.termNumber()
		c.kill(c.leader())
		c.awaitTermAfter(term)
		time.Sleep(5 * time.Second)
		is.Equal(c.fleet.Runs(), 2) // the task runs again
	})
}
