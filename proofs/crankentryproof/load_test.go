package crankentryproof

import (
	"fmt"
	"testing"
	"time"
)

// TestPlansForManyWorkers submits a burst of jobs to 350 workers; it is meant to
// be run under a profiler. All urgent gangs must complete although patient tasks
// fill the workers.
func TestPlansForManyWorkers(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		c.setUp(350)
		for i := range 150 {
			if err := c.submit("a", "patient", fmt.Sprintf("patient%d", i), independentTasks(40, 6*time.Second)); err != nil {
				t.Fatal(err)
			}
			if err := c.submit("b", "urgent", fmt.Sprintf("urgent%d", i), gangStep(5, 1+i%8, 2*time.Second)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(15 * time.Second)
		for i := range 150 {
			c.awaitPhase("c", "urgent", fmt.Sprintf("urgent%d", i), "completed", time.Second)
		}
	})
}
