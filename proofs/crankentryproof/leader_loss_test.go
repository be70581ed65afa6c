package crankentryproof

import (
	"testing"
	"time"

	crank "cranberrycrank"

	"github.com/matryer/is"
)

// Load pattern: urgent jobs go on arriving while the leader has lost power. A job of
// 2.5 s may take 4 s in all (1.5 times its run time and 250 ms); a successor that
// starts its work later than that allows makes every job of these seconds late.
func TestUrgentJobMeetsItsObjectiveAfterTheLeaderIsLost(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(8)
		caller := c.notLeader()
		time.Sleep(2 * time.Second)
		c.kill(c.leader())
		begun := time.Now()
		is.NoErr(c.submit(caller, "urgent", "job1", gangStep(2, 4, 2500*time.Millisecond)))
		c.awaitPhase(caller, "urgent", "job1", crank.PhaseCompleted, 4*time.Second-time.Since(begun))
	})
}

// A slow store delays heartbeats and loses the answers to some, but the leader works
// on. Nobody else may claim the term meanwhile.
func TestLeaderKeepsItsTermWhileTheStoreIsSlow(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(4)
		term := c.termNumber()
		c.update(func() { c.storeFaults = slowAndLossy() })
		time.Sleep(10 * time.Second)
		clearStoreFaults(c)
		is.Equal(c.termNumber(), term)
	})
}
