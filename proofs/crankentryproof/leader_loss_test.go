package crankentryproof

import (
	"fmt"
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

// slowLine is the delay of a log line at an instance that is too slow to plan: urgent
// jobs cause several lines each.
const slowLine = 100 * time.Millisecond

// submitStream submits an urgent job every 200 ms.
func (c *cluster) submitStream(caller, prefix string, d time.Duration) {
	for i := range int(d / (200 * time.Millisecond)) {
		// Jobs that a slow leader does not take in time are not what is tested.
		_ = c.submit(caller, "urgent", fmt.Sprintf("%s%d", prefix, i), gangStep(2, 1, time.Second))
		time.Sleep(200 * time.Millisecond)
	}
}

// Load pattern: the leader turns slow in a burst of urgent jobs. Another instance takes
// the term over, and jobs that are handed in then meet their objective again.
func TestSlowLeaderYieldsItsTerm(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(8)
		time.Sleep(settled)
		term, caller, leader := c.termNumber(), c.notLeader(), c.leader()
		c.update(func() { c.logDelay[c.running[leader].caller] = slowLine })
		c.submitStream(caller, "slow", 5*time.Second)
		is.Equal(c.termNumber(), term+1)
		is.True(c.leader() != leader)
		time.Sleep(2 * time.Second)
		begun := time.Now()
		is.NoErr(c.submit(caller, "urgent", "job1", gangStep(2, 1, 2500*time.Millisecond)))
		c.awaitPhase(caller, "urgent", "job1", crank.PhaseCompleted, 4*time.Second-time.Since(begun))
	})
}

// When all instances are slow, moving the term again and again would make it worse.
func TestTermStaysWhenAllInstancesAreSlow(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(8)
		time.Sleep(settled)
		term, caller := c.termNumber(), c.notLeader()
		c.update(func() {
			for _, inst := range c.running {
				c.logDelay[inst.caller] = slowLine
			}
		})
		c.submitStream(caller, "slow", 10*time.Second)
		is.True(c.termNumber() <= term+1)
	})
}

// settled is long enough for a new leader to have settled in its term.
const settled = 6 * time.Second
