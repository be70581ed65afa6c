package crankentryproof

import (
	"testing"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakeplatform"

	"github.com/matryer/is"
)

// The last entry of a worker's former incarnation, stored late, ended the next one, whose
// start time was earlier since its clock had been set back, while that one answered.
func TestLateEntryEndsNoWorkerThatAnswers(t *testing.T) {
	playLateEntry(t, func(*cluster) {})
}

// A leader that was just elected accounted for a worker that ran on when such an entry of
// its former incarnation was listed.
func TestLateEntryAccountsForNoWorkerThatRuns(t *testing.T) {
	playLateEntry(t, func(c *cluster) {
		c.kill(c.leader())
		time.Sleep(500 * time.Millisecond)
	})
}

// playLateEntry stores the last entry of a worker's former incarnation after the next one
// has got tasks and the leader was lost.
func playLateEntry(t *testing.T, lose func(c *cluster)) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(2)
		time.Sleep(settled)
		worker := workerID(0)
		c.drain(worker)
		time.Sleep(3 * time.Second)
		var former crank.WorkerEntry
		c.update(func() { former = c.workerEntries[worker] })
		c.leave(worker)
		c.removeEntry(worker)
		time.Sleep(time.Second)
		c.restartWithClockSetBack(worker)
		time.Sleep(time.Second)
		log := c.recordStarts()
		const tasks = 10
		is.NoErr(c.submit("a", "patient", "job1", independentTasks(tasks, 12*time.Second)))
		time.Sleep(500 * time.Millisecond)
		is.True(len(log.tasksAt("job1", worker)) > 0)
		lose(c)
		c.store.Put(crank.WorkerTopic, worker, crankfakeplatform.EncodeEntry(former))
		time.Sleep(5 * time.Second)
		c.ensureAllRunning()
		c.awaitPhase("a", "patient", "job1", crank.PhaseCompleted, 30*time.Second)
		is.Equal(c.fleet.Runs(), tasks) // each ran once
	})
}
