package crankentryproof

import (
	"testing"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakestore"

	"github.com/matryer/is"
)

// The members of a gang that were planned with one whose worker ended were never ordered.
func TestGangIsPlannedAgainAfterAWorkerEndsBeforeItsOrder(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(5)
		time.Sleep(settled)
		c.update(func() {
			c.storeFaults = func(_, call string) crankfakestore.Fault {
				if call != "append" {
					return crankfakestore.Fault{}
				}
				return crankfakestore.Fault{Delay: 450 * time.Millisecond}
			}
		})
		gang := gangStep(4, 5, time.Second) // one member a worker
		gang.SameRack = false
		is.NoErr(c.submit(c.leader(), "patient", "job1", gang))
		time.Sleep(20 * time.Millisecond)
		c.leave("w00")
		time.Sleep(2 * time.Second)
		clearStoreFaults(c)
		c.awaitPhase("a", "patient", "job1", crank.PhaseCompleted, 5*time.Second)
	})
}
