package crankentryproof

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// One task of a long-running step that never fits makes all its tasks overdue: they take
// back what a guaranteed gang has preempted from them, again and again.
func TestGuaranteedGangKeepsWhatItPreempted(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUpRacks(2)
		lasting, gang := independentTasks(6, time.Hour), gangStep(3, 8, time.Second)
		lasting.LongRunning, lasting.Label, lasting.Demand.Accelerators = true, "r0", 8
		gang.Label = "r0"
		is.NoErr(c.submit("a", "patient", "lasting", lasting))
		time.Sleep(3 * time.Second)
		is.NoErr(c.submit("a", "urgent", "gang", gang))
		time.Sleep(longestStand)
		t.Log("runs:", c.fleet.Runs())
		is.True(c.fleet.HasStarted("gang"))
	})
}
