package crankentryproof

import (
	"fmt"
	"testing"
	"time"

	crank "cranberrycrank"

	"github.com/matryer/is"
)

// rackSize is the number of workers on each rack of setUpRacks.
const rackSize = 4

// setUpRacks starts all instances and racks of workers, each rack in a zone of its own.
func (c *cluster) setUpRacks(racks int) {
	for i := range racks * rackSize {
		c.startWorker(i, fmt.Sprintf("z%d", i/rackSize), fmt.Sprintf("r%d", i/rackSize))
	}
	c.setUp(0)
}

// holdRacks starts a task that lasts on each of the first racks.
func (c *cluster) holdRacks(n int) {
	c.t.Helper()
	for i := range n {
		lasting := independentTasks(1, time.Hour)
		lasting.LongRunning, lasting.DataRack = true, fmt.Sprintf("r%d", i)
		if err := c.submit("a", "patient", fmt.Sprintf("lasting%d", i), lasting); err != nil {
			c.t.Fatal(err)
		}
	}
	time.Sleep(time.Second)
}

// Whole workers are free, but on no rack as many as the gang needs.
func TestGangStartsThoughEachRackHoldsATaskThatLasts(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUpRacks(3)
		c.holdRacks(3)
		is.NoErr(c.submit("a", "patient", "job1", gangStep(4, 8, 2*time.Second)))
		c.awaitPhase("b", "patient", "job1", crank.PhaseCompleted, 6*time.Second)
	})
}

// The only rack without such a task is in a zone out of service.
func TestGangStartsThoughTheFreeRackIsEvacuated(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUpRacks(4)
		c.holdRacks(3)
		c.store.Put(crank.OperatorTopic, "z3", []byte("{}"))
		time.Sleep(2 * time.Second)
		is.NoErr(c.submit("a", "patient", "job1", gangStep(4, 8, 2*time.Second)))
		c.awaitPhase("b", "patient", "job1", crank.PhaseCompleted, 6*time.Second)
	})
}

// A gang that is late reserves nothing.
func TestLateGangStartsOnceTheServiceIsIdle(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUpRacks(3)
		c.holdRacks(3)
		is.NoErr(c.submit("a", "patient", "job1", independentTasks(93, 12*time.Second)))
		time.Sleep(time.Second)
		is.NoErr(c.submit("a", "patient", "job2", gangStep(4, 8, 100*time.Millisecond)))
		c.awaitPhase("b", "patient", "job1", crank.PhaseCompleted, 13*time.Second)
		c.awaitPhase("b", "patient", "job2", crank.PhaseCompleted, 3*time.Second)
	})
}

// Small tasks that come later must not take what a waiting gang has reserved, and it must
// not reserve a rack that never becomes free.
func TestGangReservesARackThatBecomesFree(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUpRacks(3)
		c.holdRacks(2)
		submitted := 0
		submitMore := func() { // than the workers have room for
			for range 6 {
				submitted++
				is.NoErr(c.submit("a", "patient", fmt.Sprintf("small%d", submitted), independentTasks(16, 2*time.Second)))
			}
		}
		submitMore()
		time.Sleep(500 * time.Millisecond)
		const runTime, longestWait = 2 * time.Second, 6 * time.Second
		is.NoErr(c.submit("a", "patient", "job1", gangStep(4, 8, runTime)))
		for begun := time.Now(); time.Since(begun) < longestWait+runTime; time.Sleep(2 * time.Second) {
			submitMore()
		}
		is.Equal(c.fleet.DoneTasks("job1"), 4)
	})
}

// Accelerators were in use for the most part, and the gang needs few of them.
func TestGangWithRoomTwiceOverStartsInABusyService(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUpRacks(3)
		accelerated, cores := independentTasks(12, time.Minute), independentTasks(1, time.Minute)
		accelerated.Demand, accelerated.MaxPerWorker = crank.Demand{MilliCores: 100, MemoryMiB: 100, Accelerators: 6}, 1
		cores.Demand = crank.Demand{MilliCores: 31000, MemoryMiB: 100}
		is.NoErr(c.submit("a", "patient", "accelerated", accelerated))
		for i := range 3 { // one worker of each rack is full
			one := cores
			one.DataRack = fmt.Sprintf("r%d", i)
			is.NoErr(c.submit("a", "patient", fmt.Sprintf("cores%d", i), one))
		}
		time.Sleep(time.Second)
		gang := gangStep(4, 1, 2*time.Second)
		gang.Demand.MilliCores = 20000
		is.NoErr(c.submit("a", "patient", "job1", gang))
		c.awaitPhase("b", "patient", "job1", crank.PhaseCompleted, 5*time.Second)
	})
}
