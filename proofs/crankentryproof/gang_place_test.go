package crankentryproof

import (
	"testing"
	"time"

	crank "cranberrycrank"

	"github.com/matryer/is"
)

// A gang of which only some members moved started without those that stayed.
func TestGangThatMovesInPartStartsWhole(t *testing.T) {
	for _, queue := range []string{"patient", "urgent"} {
		t.Run(queue, func(t *testing.T) {
			runInCluster(t, func(t *testing.T, c *cluster) {
				is := is.New(t)
				c.setUp(4)
				time.Sleep(settled)
				log := c.recordStarts()
				is.NoErr(c.submit("a", queue, "job1", gangStep(3, 5, 10*time.Second))) // one member a worker
				time.Sleep(2 * time.Second)
				is.Equal(len(log.started("job1")), 3)
				left := log.workerOf(crank.TaskID{Job: "job1", Index: 2})
				c.losePower(left)
				c.restart(left)
				time.Sleep(3 * time.Second)
				is.Equal(len(log.tasksAt("job1", left)), 0)
				is.Equal(c.fleet.Runs(), 6) // each member twice: no start without the others
				c.awaitPhase("a", queue, "job1", crank.PhaseCompleted, 12*time.Second)
			})
		})
	}
}
