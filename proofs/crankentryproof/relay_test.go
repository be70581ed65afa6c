package crankentryproof

import (
	"slices"
	"testing"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankbook"
	"cranberrycrank/standin/crankfakefleet"

	"github.com/matryer/is"
)

func TestInstanceTurnedAwayByTheStoreServesThroughAnother(t *testing.T) {
	play(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.open(4)
		name := "a"
		if c.leader() == name {
			name = "b"
		}
		c.turnAway(name)
		begun := time.Now()
		is.NoErr(c.submit(name, "urgent", "job1", gang(2, 4, time.Second)))
		is.True(time.Since(begun) < 600*time.Millisecond) // one call without an answer
		c.await(name, "urgent", "job1", crankbook.PhaseCompleted, 2*time.Second)
		for range 30 {
			time.Sleep(200 * time.Millisecond)
			is.True(c.entries[name].Ready())
		}
		is.NoErr(c.submit(name, "urgent", "job2", gang(2, 4, time.Second)))
		c.await(name, "urgent", "job2", crankbook.PhaseCompleted, 1500*time.Millisecond)
	})
}

func TestPlannerTurnedAwayByTheStoreKeepsItsTerm(t *testing.T) {
	play(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.open(4)
		term, leader := c.termNumber(), c.leader()
		is.NoErr(c.submit("a", "urgent", "job1", gang(2, 4, time.Second)))
		time.Sleep(800 * time.Millisecond)
		c.turnAway(leader)
		for _, entry := range []string{"a", "b", "c"} {
			c.await(entry, "urgent", "job1", crankbook.PhaseCompleted, 1500*time.Millisecond)
		}
		time.Sleep(6 * time.Second)
		is.NoErr(c.submit("b", "urgent", "job2", gang(2, 4, time.Second)))
		c.await("c", "urgent", "job2", crankbook.PhaseCompleted, 1500*time.Millisecond)
		is.Equal(c.termNumber(), term)
	})
}

func TestAllInstancesTurnedAwayRefuse(t *testing.T) {
	play(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.open(4)
		for _, name := range []string{"a", "b", "c"} {
			c.turnAway(name)
		}
		time.Sleep(4 * time.Second)
		is.True(c.submit("a", "urgent", "job1", gang(2, 4, time.Second)) != nil)
		c.reconnect()
		time.Sleep(3 * time.Second)
		is.NoErr(c.submit("a", "urgent", "job2", gang(2, 4, time.Second)))
		c.await("b", "urgent", "job2", crankbook.PhaseCompleted, 2*time.Second)
	})
}

// A planner that is cut off together with workers goes on there. Its successor
// must not take them for gone when their entries lapse.
func TestWorkersCutOffWithThePlannerAreNotGone(t *testing.T) {
	play(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.open(4)
		leader, other := c.leader(), "a"
		if leader == other {
			other = "b"
		}
		is.NoErr(c.submit(other, "patient", "job1", single(32, 6*time.Second)))
		time.Sleep(time.Second)
		workers, cut := []string{"w00", "w01"}, c.entries[leader].caller
		c.cutOff(leader)
		c.set(func() {
			for _, w := range workers {
				c.silent[w] = true
			}
			c.late = func(caller, worker, _ string) crankfakefleet.Fault {
				return crankfakefleet.Fault{Cut: slices.Contains(workers, worker) != (caller == cut)}
			}
		})
		time.Sleep(3 * heartbeat)
		for _, w := range workers {
			c.store.Put(crank.WorkerTopic, w, nil)
		}
		time.Sleep(5 * time.Second) // the entries are gone for long, leases of the first planner may not be over
		c.reconnect()
		c.set(func() {
			clear(c.silent)
			c.late = nil
		})
		c.await(other, "patient", "job1", crankbook.PhaseCompleted, 20*time.Second)
	})
}
