package crankentryproof

import (
	"slices"
	"testing"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakefleet"

	"github.com/matryer/is"
)

func TestInstanceCutFromStoreServesThroughPeer(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(4)
		name := "a"
		if c.leader() == name {
			name = "b"
		}
		c.cutFromStore(name)
		start := time.Now()
		is.NoErr(c.submit(name, "urgent", "job1", gangStep(2, 4, time.Second)))
		is.True(time.Since(start) < 600*time.Millisecond) // time for one unanswered call to the store
		c.awaitPhase(name, "urgent", "job1", crank.PhaseCompleted, 2*time.Second)
		for range 30 {
			time.Sleep(200 * time.Millisecond)
			is.True(c.running[name].Ready())
		}
		is.NoErr(c.submit(name, "urgent", "job2", gangStep(2, 4, time.Second)))
		c.awaitPhase(name, "urgent", "job2", crank.PhaseCompleted, 1500*time.Millisecond)
	})
}

func TestLeaderCutFromStoreKeepsItsTerm(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(4)
		term, leader := c.termNumber(), c.leader()
		is.NoErr(c.submit("a", "urgent", "job1", gangStep(2, 4, time.Second)))
		time.Sleep(800 * time.Millisecond)
		c.cutFromStore(leader)
		for _, name := range []string{"a", "b", "c"} {
			c.awaitPhase(name, "urgent", "job1", crank.PhaseCompleted, 1500*time.Millisecond)
		}
		time.Sleep(6 * time.Second)
		is.NoErr(c.submit("b", "urgent", "job2", gangStep(2, 4, time.Second)))
		c.awaitPhase("c", "urgent", "job2", crank.PhaseCompleted, 1500*time.Millisecond)
		is.Equal(c.termNumber(), term)
	})
}

func TestAllInstancesCutFromStoreRefuse(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(4)
		for _, name := range []string{"a", "b", "c"} {
			c.cutFromStore(name)
		}
		time.Sleep(4 * time.Second)
		is.True(c.submit("a", "urgent", "job1", gangStep(2, 4, time.Second)) != nil)
		c.reconnect()
		time.Sleep(3 * time.Second)
		is.NoErr(c.submit("a", "urgent", "job2", gangStep(2, 4, time.Second)))
		c.awaitPhase("b", "urgent", "job2", crank.PhaseCompleted, 2*time.Second)
	})
}

// A leader that is isolated together with some workers keeps running tasks on
// them. The next leader must not treat these workers as gone when their entries
// are removed.
func TestWorkersIsolatedWithLeaderAreNotGone(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(4)
		leader, other := c.leader(), "a"
		if leader == other {
			other = "b"
		}
		is.NoErr(c.submit(other, "patient", "job1", independentTasks(32, 6*time.Second)))
		time.Sleep(time.Second)
		workers, isolated := []string{"w00", "w01"}, c.running[leader].caller
		c.isolate(leader)
		c.update(func() {
			for _, w := range workers {
				c.silent[w] = true
			}
			c.workerFaults = func(caller, worker, _ string) crankfakefleet.Fault {
				return crankfakefleet.Fault{DropRequest: slices.Contains(workers, worker) != (caller == isolated)}
			}
		})
		time.Sleep(3 * heartbeatInterval)
		for _, w := range workers {
			c.store.Put(crank.WorkerTopic, w, nil)
		}
		time.Sleep(5 * time.Second) // well after the removal of the entries; leases of the first leader may still run
		c.reconnect()
		c.update(func() {
			clear(c.silent)
			c.workerFaults = nil
		})
		c.awaitPhase(other, "patient", "job1", crank.PhaseCompleted, 20*time.Second)
	})
}
