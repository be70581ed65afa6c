package crankentryproof

import (
	"testing"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakefleet"
	"cranberrycrank/standin/crankfakeplatform"

	"github.com/matryer/is"
)

// The last entry of a worker's former incarnation, stored late, ended the next one, whose
// start time was earlier since its clock had been set back, while that one answered.
func TestLateEntryEndsNoWorkerThatAnswers(t *testing.T) {
	playLateEntry(t, func(*cluster) {}, func(*cluster, string) {})
}

// Such an entry ended a worker that had been listed again as soon as it fell silent.
func TestWorkerListedAgainAfterALateEntryKeepsItsLease(t *testing.T) {
	playLateEntry(t, func(*cluster) {}, func(c *cluster, worker string) {
		c.disturb(worker, crankfakefleet.Fault{NoListener: true}, false)
		time.Sleep(2500 * time.Millisecond)
		clearWorkerFaults(c)
	})
}

// A leader that was just elected accounted for a worker that ran on when such an entry of
// its former incarnation was listed.
func TestLateEntryAccountsForNoWorkerThatRuns(t *testing.T) {
	playLateEntry(t, func(c *cluster) {
		c.kill(c.leader())
		time.Sleep(500 * time.Millisecond)
	}, func(*cluster, string) {})
}

// playLateEntry stores the last entry of a worker's former incarnation after the next one
// has got tasks and the leader was lost. What comes then comes once the next one is listed again.
func playLateEntry(t *testing.T, lose func(c *cluster), then func(c *cluster, worker string)) {
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
		time.Sleep(10 * time.Millisecond) // a heartbeat that is being written comes before the removal
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
		then(c, worker)
		c.ensureAllRunning()
		c.awaitPhase("a", "patient", "job1", crank.PhaseCompleted, 30*time.Second)
		is.Equal(c.fleet.Runs(), tasks) // each ran once
	})
}
