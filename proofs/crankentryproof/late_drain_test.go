package crankentryproof

import (
	"testing"
	"time"

	crank "cranberrycrank"

	"github.com/matryer/is"
)

// A worker that began to drain just before the loss of the leader was watched by nobody, and
// a run that ended there before the next term was done again.
func TestEndAtAWorkerThatDrainsAsTheLeaderIsLostCounts(t *testing.T) {
	const runTime, drains, ends, leaves = 10 * time.Second, 10 * time.Millisecond, 100 * time.Millisecond, 1200 * time.Millisecond
	endAtALateDrain(t, runTime, drains, ends, leaves)
}

// A worker that began to drain while there was no leader was watched by nobody either.
func TestEndAtAWorkerThatDrainsWithoutALeaderCounts(t *testing.T) {
	const runTime, drains, ends, leaves = 10 * time.Second, -200 * time.Millisecond, 500 * time.Millisecond, 1200 * time.Millisecond
	endAtALateDrain(t, runTime, drains, ends, leaves)
}

// endAtALateDrain loses the leader. The worker of the only run drains before that, its run
// ends after it and the worker leaves at last.
func endAtALateDrain(t *testing.T, runTime, drains, ends, leaves time.Duration) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(8)
		time.Sleep(settled)
		log := c.recordStarts()
		is.NoErr(c.submit("a", "patient", "job1", independentTasks(1, runTime)))
		time.Sleep(500 * time.Millisecond)
		first := crank.TaskID{Job: "job1"}
		worker := log.workerOf(first)
		lost := log.started("job1")[first].Add(runTime - ends)
		time.AfterFunc(time.Until(lost.Add(-drains)), func() { c.drain(worker) })
		time.AfterFunc(time.Until(lost.Add(leaves)), func() {
			c.losePower(worker)
			c.removeEntry(worker)
		})
		time.Sleep(time.Until(lost))
		term := c.termNumber()
		c.kill(c.leader())
		c.awaitTermAfter(term)
		time.Sleep(12 * time.Second)
		is.Equal(c.fleet.Runs(), 1) // it was not done again
	})
}
