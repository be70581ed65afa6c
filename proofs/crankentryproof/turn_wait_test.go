package crankentryproof

import (
	"fmt"
	"testing"
	"time"

	crank "cranberrycrank"

	"github.com/matryer/is"
)

// busyRacks keeps a worker of each rack busy for a time.
func (c *cluster) busyRacks(racks int, run time.Duration) {
	c.t.Helper()
	for i := range racks {
		busy := independentTasks(1, run)
		busy.DataRack = fmt.Sprintf("r%d", i)
		if err := c.submit("a", "patient", fmt.Sprintf("busy%d", i), busy); err != nil {
			c.t.Fatal(err)
		}
	}
}

// racksOf returns the racks on which tasks of a step are at work.
func (c *cluster) racksOf(job string, step, tasks int) map[string]bool {
	racks := make(map[string]bool)
	for i := range tasks {
		if w := c.fleet.TaskState(crank.TaskID{Job: job, Step: step, Index: i}).Worker; w != "" {
			racks[c.workerEntries[w].Rack] = true
		}
	}
	return racks
}

// The time for which step 0 ran counted as a wait of the gang, which went across racks at
// once.
func TestGangOfALaterStepWaitsForItsRack(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUpRacks(2)
		second := gangStep(4, 8, 20*time.Second)
		second.After = []int{0}
		c.busyRacks(2, 5700*time.Millisecond)
		is.NoErr(c.submit("a", "patient", "steps", independentTasks(1, 5*time.Second), second))
		time.Sleep(7500 * time.Millisecond)
		is.Equal(len(c.racksOf("steps", 1, 4)), 1)
	})
}

// The time before an occurrence was due counted as its wait.
func TestGangOfALaterOccurrenceWaitsForItsRack(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUpRacks(2)
		c.busyRacks(2, 5700*time.Millisecond)
		is.NoErr(c.submitJob("a", "patient", "later", crank.StepJob{
			Payload: "plan later", Steps: []crank.Step{gangStep(4, 8, 20*time.Second)},
			Repeat: crank.Repeat{Times: 1, First: time.Now().Add(5 * time.Second), Every: time.Hour},
		}))
		time.Sleep(7500 * time.Millisecond)
		is.Equal(len(c.racksOf("later", 0, 4)), 1)
	})
}
