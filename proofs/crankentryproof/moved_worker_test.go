package crankentryproof

import (
	"testing"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakeplatform"

	"github.com/matryer/is"
)

// Calls went on to the first address of a worker that had got another one, where another
// worker answered, until its tasks were started elsewhere.
func TestWorkerThatMovesKeepsItsRuns(t *testing.T) {
	for _, v := range []struct {
		name string
		lose func(c *cluster)
	}{
		{"leader_stays", func(*cluster) {}},
		{"leader_killed", func(c *cluster) { c.kill(c.leader()) }},
	} {
		t.Run(v.name, func(t *testing.T) {
			runInCluster(t, func(t *testing.T, c *cluster) {
				is := is.New(t)
				c.setUp(4)
				time.Sleep(settled)
				log := c.recordStarts()
				const tasks = 32 // fill all workers
				is.NoErr(c.submit("a", "patient", "job1", independentTasks(tasks, 20*time.Second)))
				time.Sleep(time.Second)
				worker := log.workerOf(crank.TaskID{Job: "job1"})
				e := c.fleet.Move(worker, "192.0.2.2:8080")
				c.update(func() { c.workerEntries[worker] = e })
				time.Sleep(time.Second) // until its next heartbeat
				c.store.Put(crank.WorkerTopic, worker, crankfakeplatform.EncodeEntry(e))
				v.lose(c)
				c.ensureAllRunning()
				c.awaitPhase("a", "patient", "job1", crank.PhaseCompleted, 40*time.Second)
				is.Equal(c.fleet.Runs(), tasks) // each ran once
				is.NoErr(c.submit("a", "patient", "job2", independentTasks(tasks, time.Second)))
				time.Sleep(3 * time.Second)
				is.Equal(len(log.tasksAt("job2", worker)), tasks/4)
			})
		})
	}
}
