package crankentryproof

import (
	"fmt"
	"testing"
	"time"

	crank "cranberrycrank"

	"github.com/matryer/is"
)

// longestStand is how long a task may stand while under half of its service is in use and
// there is capacity for it twice over (users' rule LOST).
const longestStand = 3 * time.Second

// onePerWorker returns a step of small tasks on different workers.
func onePerWorker(tasks int, run time.Duration) crank.Step {
	s := independentTasks(tasks, run)
	s.MaxPerWorker = 1
	return s
}

// anyRackGang returns a gang of whole workers of any racks.
func anyRackGang(tasks int, run time.Duration) crank.Step {
	s := gangStep(tasks, 8, run)
	s.SameRack = false
	return s
}

// A gang of all workers reserved them until the longest task on any of them had ended, from
// jobs that end before that and from others.
func TestReservationInAnIdleServiceHoldsUpNoSmallJob(t *testing.T) {
	for _, run := range []time.Duration{time.Second, 2 * time.Minute} {
		t.Run(run.String(), func(t *testing.T) {
			runInCluster(t, func(t *testing.T, c *cluster) {
				is := is.New(t)
				c.setUpRacks(3)
				is.NoErr(c.submit("a", "patient", "spread", onePerWorker(12, time.Minute)))
				time.Sleep(time.Second)
				is.NoErr(c.submit("a", "patient", "wide", anyRackGang(12, time.Second)))
				time.Sleep(2 * time.Second)
				is.NoErr(c.submit("b", "patient", "small", independentTasks(1, run)))
				time.Sleep(longestStand)
				is.True(c.fleet.HasStarted("small"))
			})
		})
	}
}

// As before, of the workers with a label.
func TestReservationOfLabelledWorkersHoldsUpNoSmallJob(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUpRacks(3)
		spread, gang, small := onePerWorker(4, time.Minute), gangStep(4, 8, time.Second), independentTasks(1, 2*time.Minute)
		spread.Label, gang.Label, small.Label = "r1", "r1", "r1"
		is.NoErr(c.submit("a", "patient", "spread", spread))
		time.Sleep(time.Second)
		is.NoErr(c.submit("a", "patient", "wide", gang))
		time.Sleep(2 * time.Second)
		is.NoErr(c.submit("b", "patient", "small", small))
		time.Sleep(longestStand)
		is.True(c.fleet.HasStarted("small"))
	})
}

// The gang must still come before small tasks that would keep its workers busy.
func TestWideGangIsNotOvertakenWithoutBound(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUpRacks(3)
		const runTime = 4 * time.Second
		submitted := 0
		submitSpread := func() {
			submitted++
			is.NoErr(c.submit("a", "patient", fmt.Sprintf("spread%d", submitted), onePerWorker(12, runTime)))
		}
		submitSpread()
		time.Sleep(time.Second)
		is.NoErr(c.submit("a", "patient", "wide", anyRackGang(12, time.Second)))
		for range 12 {
			submitSpread()
			time.Sleep(time.Second)
		}
		is.True(c.fleet.HasStarted("wide"))
	})
}

// Small tasks that come later took each accelerator that became free.
func TestWholeWorkerTaskIsNotOvertakenWithoutBound(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUpRacks(1)
		submitted := 0
		submitFor := func(d time.Duration) {
			for begun := time.Now(); time.Since(begun) < d; time.Sleep(80 * time.Millisecond) {
				submitted++
				is.NoErr(c.submit("a", "patient", fmt.Sprintf("small%d", submitted), independentTasks(1, 3*time.Second)))
			}
		}
		submitFor(4 * time.Second)
		whole := independentTasks(1, 4*time.Second)
		whole.Demand.Accelerators = 8
		is.NoErr(c.submit("a", "patient", "whole", whole))
		submitFor(12 * time.Second)
		is.True(c.fleet.HasStarted("whole"))
	})
}

// In a busy service what a gang waits for stayed unused, also by tasks that end before.
func TestTaskThatEndsBeforeAReservationStarts(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUpRacks(1)
		wholeWorkers := independentTasks(3, 8*time.Second)
		wholeWorkers.Demand.Accelerators = 8
		is.NoErr(c.submit("a", "patient", "busy", wholeWorkers))
		time.Sleep(500 * time.Millisecond)
		is.NoErr(c.submit("a", "patient", "gang", anyRackGang(4, time.Second)))
		time.Sleep(2 * time.Second)
		is.NoErr(c.submit("b", "patient", "long", independentTasks(1, 20*time.Second)))
		is.NoErr(c.submit("b", "patient", "short", independentTasks(1, 2*time.Second)))
		time.Sleep(time.Second)
		is.True(c.fleet.HasStarted("short"))
		for i := range 6 { // jobs keep coming
			is.True(!c.fleet.HasStarted("long"))
			is.NoErr(c.submit("b", "patient", fmt.Sprintf("next%d", i), independentTasks(1, 100*time.Millisecond)))
			time.Sleep(time.Second)
		}
		is.True(c.fleet.HasStarted("gang"))
	})
}

// A long-running task had nothing running in a pool of which more than half was in use, with
// room for it many times over that a gang had reserved, for as long as small jobs came.
func TestReservationHoldsUpNoLongRunningTaskWhileJobsCome(t *testing.T) {
	for _, queue := range []string{"urgent", "patient"} {
		t.Run(queue, func(t *testing.T) {
			runInCluster(t, func(t *testing.T, c *cluster) {
				is := is.New(t)
				c.key = unguaranteedKey
				c.setUp(8)
				time.Sleep(settled)
				c.submitMany("urgent", "running", 5)
				time.Sleep(time.Second)
				is.NoErr(c.submit("a", "urgent", "wide", anyRackGang(4, 8*time.Second)))
				time.Sleep(5 * time.Second)
				service := independentTasks(1, time.Hour)
				service.LongRunning = true
				is.NoErr(c.submit("a", queue, "service", service))
				for n := range 6 {
					is.NoErr(c.submit("a", "patient", fmt.Sprint("small", n), independentTasks(1, time.Second)))
					time.Sleep(time.Second)
				}
				is.True(c.fleet.HasStarted("service"))
			})
		})
	}
}
