package crankentryproof

import (
	"testing"
	"time"

	crank "cranberrycrank"

	"github.com/matryer/is"
)

// A task that took twenty times its estimate was stopped as standing still before each percent of
// progress, and never done.
func TestTaskThatTakesTwentyTimesItsEstimateIsDone(t *testing.T) {
	const runTime = 600 * time.Second
	for _, queue := range []string{"patient", "urgent"} {
		t.Run(queue, func(t *testing.T) {
			runInCluster(t, func(t *testing.T, c *cluster) {
				is := is.New(t)
				c.setUp(8)
				time.Sleep(settled)
				c.update(func() { c.runTime = func(crank.TaskID, string) time.Duration { return runTime } })
				is.NoErr(c.submit("a", queue, "alone", independentTasks(1, runTime/20)))
				is.NoErr(c.submit("a", queue, "gang", gangStep(2, 1, runTime/20)))
				for _, id := range []string{"alone", "gang"} {
					c.awaitPhase("a", queue, id, crank.PhaseCompleted, runTime*6/5)
				}
			})
		})
	}
}
