package crankentryproof

import (
	"fmt"
	"testing"
	"time"
)

// TestPlansForManyWorkers plays a burst at 350 workers, to be run under a
// profiler. All urgent work starts though patient work fills the workers.
func TestPlansForManyWorkers(t *testing.T) {
	play(t, func(t *testing.T, c *cluster) {
		c.open(350)
		for i := range 150 {
			if err := c.submit("a", "patient", fmt.Sprintf("patient%d", i), single(40, 6*time.Second)); err != nil {
				t.Fatal(err)
			}
			if err := c.submit("b", "urgent", fmt.Sprintf("urgent%d", i), gang(5, 1+i%8, 2*time.Second)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(15 * time.Second)
		for i := range 150 {
			c.await("c", "urgent", fmt.Sprintf("urgent%d", i), "completed", time.Second)
		}
	})
}
