package crankentryproof

import (
	"testing"
	"time"

	"cranberrycrank/standin/crankfakestore"

	"github.com/matryer/is"
)

// blindLeader lets the leader append to the store but read nothing, not through another
// instance either, as one that is short of connections or whose reads take too long.
func (c *cluster) blindLeader() (caller string) {
	caller = c.running[c.leader()].caller
	c.update(func() {
		c.peersCut[caller] = true
		c.storeFaults = func(from, call string) crankfakestore.Fault {
			return crankfakestore.Fault{DropResponse: from == caller && call != "append"}
		}
	})
	return caller
}

// A leader that could write to the store but not read it led on for good, and went on
// starting tasks of a job whose cancellation was acknowledged.
func TestLeaderThatCanNotReadJobsStartsNoCancelledTask(t *testing.T) {
	const bound = 3 * time.Second // from the acknowledgement on
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(4)
		time.Sleep(settled)
		log := c.recordStarts()
		caller := c.notLeader()
		is.NoErr(c.submit(caller, "patient", "job1", independentTasks(600, time.Second)))
		time.Sleep(1500 * time.Millisecond)
		term := c.termNumber()
		c.blindLeader()
		time.Sleep(200 * time.Millisecond)
		is.NoErr(c.cancel(caller, "patient", "job1"))
		time.Sleep(bound)
		started := len(log.started("job1"))
		time.Sleep(3 * time.Second)
		is.Equal(len(log.started("job1")), started)
		is.True(c.termNumber() > term) // another instance leads
		is.NoErr(c.submit(caller, "patient", "job2", independentTasks(1, time.Second)))
		c.awaitPhase(caller, "patient", "job2", "completed", 5*time.Second)
	})
}

// In an outage of the store nothing can be cancelled, so that work goes on.
func TestStartsGoOnWhileTheStoreIsDown(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(4)
		time.Sleep(settled)
		log := c.recordStarts()
		is.NoErr(c.submit(c.notLeader(), "urgent", "job1", independentTasks(200, time.Second)))
		time.Sleep(1500 * time.Millisecond)
		c.update(func() {
			c.storeFaults = func(_, _ string) crankfakestore.Fault { return crankfakestore.Fault{Refuse: true} }
		})
		time.Sleep(3500 * time.Millisecond)
		started := len(log.started("job1"))
		time.Sleep(1500 * time.Millisecond)
		is.True(len(log.started("job1")) > started)
		clearStoreFaults(c)
		c.awaitPhase("a", "urgent", "job1", "completed", 30*time.Second)
	})
}

// A long outage whose end the leader's heartbeats met before its reads made it give the term
// up.
func TestLeaderKeepsItsTermWhenReadsReturnLate(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(4)
		time.Sleep(settled)
		term := c.termNumber()
		c.update(func() {
			c.storeFaults = func(_, _ string) crankfakestore.Fault { return crankfakestore.Fault{Refuse: true} }
		})
		time.Sleep(7 * time.Second)
		c.update(func() {
			c.storeFaults = func(_, call string) crankfakestore.Fault { return crankfakestore.Fault{Refuse: call != "append"} }
		})
		time.Sleep(time.Second)
		clearStoreFaults(c)
		time.Sleep(5 * time.Second)
		is.Equal(c.termNumber(), term)
	})
}
