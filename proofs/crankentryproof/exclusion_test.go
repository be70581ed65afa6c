package crankentryproof

import (
	"testing"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakefleet"

	"github.com/matryer/is"
)

// A step with a latency target waited for as long as best-effort tasks ran on each worker.
func TestLatencyStepStartsWhileBestEffortTasksAreEverywhere(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(4)
		time.Sleep(settled)
		filler := independentTasks(4, 30*time.Second)
		filler.BestEffort, filler.MaxPerWorker, filler.Checkpoints = true, 1, true
		is.NoErr(c.submit("a", "patient", "filler", filler))
		time.Sleep(time.Second)
		serving := independentTasks(2, time.Hour)
		serving.LongRunning, serving.Latency = true, 50*time.Millisecond
		is.NoErr(c.submit("a", "patient", "serving", serving))
		time.Sleep(3 * time.Second)
		is.True(c.fleet.HasStarted("serving"))
		is.NoErr(c.cancel("a", "patient", "serving"))
		c.awaitPhase("a", "patient", "filler", crank.PhaseCompleted, 60*time.Second)
	})
}

// A step with a latency target waited for good where long-running best-effort tasks ran on each
// worker. Those that may have one task unavailable make way one at a time.
func TestLatencyStepStartsWhileLongRunningBestEffortTasksAreEverywhere(t *testing.T) {
	for _, v := range []struct {
		name           string
		maxUnavailable int
	}{{"any", 0}, {"one_at_a_time", 1}} {
		t.Run(v.name, func(t *testing.T) {
			runInCluster(t, func(t *testing.T, c *cluster) {
				is := is.New(t)
				c.setUp(4)
				time.Sleep(settled)
				log := c.recordStarts()
				filler := independentTasks(4, time.Hour)
				filler.LongRunning, filler.BestEffort, filler.MaxPerWorker, filler.MaxUnavailable = true, true, 1, v.maxUnavailable
				is.NoErr(c.submit("a", "patient", "filler", filler))
				time.Sleep(5 * time.Second)
				serving := independentTasks(2, time.Hour)
				serving.LongRunning, serving.Latency, serving.MaxPerWorker, serving.Demand.Accelerators = true, 50*time.Millisecond, 1, 7
				is.NoErr(c.submit("a", "patient", "serving", serving))
				time.Sleep(3 * time.Second)
				is.True(len(log.started("serving")) >= 1)
				time.Sleep(3 * time.Second)
				is.Equal(len(log.started("serving")), 2)
				time.Sleep(3 * time.Second)
				runs := c.fleet.Runs()
				time.Sleep(20 * time.Second)
				is.Equal(c.fleet.Runs(), runs) // they don't take turns
				for i := range filler.Tasks {
					is.True(c.fleet.TaskState(crank.TaskID{Job: "filler", Index: i}).Working)
				}
			})
		})
	}
}

// A best-effort task waited for as long as tasks with a latency target ran on each worker.
func TestBestEffortTaskStartsWhileLatencyTasksAreEverywhere(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(4)
		time.Sleep(settled)
		serving := independentTasks(4, time.Hour)
		serving.LongRunning, serving.Latency, serving.MaxPerWorker = true, 50*time.Millisecond, 1
		is.NoErr(c.submit("a", "patient", "serving", serving))
		time.Sleep(time.Second)
		filler := independentTasks(2, time.Second)
		filler.BestEffort = true
		is.NoErr(c.submit("a", "patient", "filler", filler))
		c.awaitPhase("a", "patient", "filler", crank.PhaseCompleted, 5*time.Second)
		is.NoErr(c.cancel("a", "patient", "serving"))
		time.Sleep(2 * time.Second)
	})
}

// Tasks with a latency target were started beside best-effort tasks that were being stopped.
func TestLatencyTaskWaitsForEvictedTasksToEnd(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(1)
		time.Sleep(settled)
		filler := independentTasks(1, 30*time.Second)
		filler.BestEffort, filler.Checkpoints = true, true
		is.NoErr(c.submit("a", "patient", "filler", filler))
		time.Sleep(time.Second)
		log := c.recordGangs()
		serving := independentTasks(3, time.Hour)
		serving.LongRunning, serving.Latency = true, 50*time.Millisecond
		is.NoErr(c.submit("a", "patient", "serving", serving))
		time.Sleep(4 * time.Second)
		is.True(c.fleet.HasStarted("serving"))
		stopped := log.ends(crank.EndStopped)
		is.Equal(len(stopped), 1)
		for _, e := range log.starts() {
			is.True(!e.At.Before(stopped[0].At))
		}
		is.NoErr(c.cancel("a", "patient", "serving"))
		c.awaitPhase("a", "patient", "filler", crank.PhaseCompleted, 60*time.Second)
	})
}

// An urgent step with a latency target had no best-effort tasks make way, unlike a patient one.
func TestUrgentLatencyStepStartsWhileBestEffortTasksAreEverywhere(t *testing.T) {
	for _, workspace := range []string{"guaranteed", "beyond"} {
		t.Run(workspace, func(t *testing.T) {
			runInCluster(t, func(t *testing.T, c *cluster) {
				is := is.New(t)
				c.setUp(4)
				time.Sleep(settled)
				filler := independentTasks(4, 30*time.Second)
				filler.BestEffort, filler.MaxPerWorker, filler.Checkpoints = true, 1, true
				is.NoErr(c.submit("a", "patient", "filler", filler))
				time.Sleep(time.Second)
				serving := independentTasks(2, time.Hour)
				serving.LongRunning, serving.Latency = true, 50*time.Millisecond
				if workspace == "beyond" {
					serving.Tasks = 33 // more than is guaranteed
					serving.Demand = crank.Demand{MilliCores: 500, MemoryMiB: 100, Accelerators: 1}
				}
				is.NoErr(c.submit("a", "urgent", "serving", serving))
				time.Sleep(3 * time.Second)
				is.True(c.fleet.HasStarted("serving"))
				is.NoErr(c.cancel("a", "urgent", "serving"))
				c.awaitPhase("a", "patient", "filler", crank.PhaseCompleted, 60*time.Second)
			})
		})
	}
}

// A best-effort task stayed beside a task whose latency target it had exceeded, or came back at
// once.
func TestBestEffortTaskMakesWayWhereALatencyTargetIsExceeded(t *testing.T) {
	const disruption = 4 * time.Second // for which a target may be exceeded
	const target = 50 * time.Millisecond
	for _, v := range []struct {
		name     string
		latency  func(worker string, bestEffort int) time.Duration
		runs     int  // of the best-effort task, at most
		finishes bool // it is done in the time
	}{
		{"never", func(string, int) time.Duration { return 20 * time.Millisecond }, 1, true},
		{"everywhere", func(_ string, n int) time.Duration { return time.Duration(20+60*n) * time.Millisecond }, 8, false},
		{"at_all_but_one", func(worker string, n int) time.Duration {
			if worker == "w02" {
				n = 0
			}
			return time.Duration(20+60*n) * time.Millisecond
		}, 4, true},
		{"nearly_without_it", func(string, int) time.Duration { return 45 * time.Millisecond }, 0, false},
	} {
		t.Run(v.name, func(t *testing.T) {
			runInCluster(t, func(t *testing.T, c *cluster) {
				is := is.New(t)
				c.setUp(4)
				time.Sleep(settled)
				c.fleet.UpdateConfig(func(f *crankfakefleet.Config) {
					f.Latency = func(_ crank.TaskID, worker string, n int) time.Duration { return v.latency(worker, n) }
				})
				serving := independentTasks(4, time.Hour)
				serving.LongRunning, serving.Latency, serving.MaxPerWorker = true, target, 1
				is.NoErr(c.submit("a", "patient", "serving", serving))
				time.Sleep(3 * time.Second)
				begun, filler := c.fleet.Runs(), crank.TaskID{Job: "filler"}
				best := independentTasks(1, 10*time.Second)
				best.BestEffort = true
				is.NoErr(c.submit("a", "patient", "filler", best))
				var since time.Time // the target is exceeded
				longest := time.Duration(0)
				for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(samplePeriod) {
					s := c.fleet.TaskState(filler)
					if !s.Working || v.latency(s.Worker, 1) <= target {
						since = time.Time{}
						continue
					}
					if since.IsZero() {
						since = time.Now()
					}
					longest = max(longest, time.Since(since))
				}
				is.True(longest < disruption)
				is.True(c.fleet.Runs()-begun <= v.runs)
				phase, err := c.phase("a", "patient", "filler")
				is.NoErr(err)
				is.Equal(phase == crank.PhaseCompleted, v.finishes)
			})
		})
	}
}

// Best-effort tasks of a step that may have one unavailable were stopped all at once where they
// exceeded latency targets.
func TestBestEffortTasksMakeWayWithinMaxUnavailable(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(4)
		time.Sleep(settled)
		slow := false
		c.fleet.UpdateConfig(func(f *crankfakefleet.Config) {
			f.Latency = func(_ crank.TaskID, worker string, n int) time.Duration {
				if slow && (worker == "w00" || worker == "w01") {
					return time.Duration(20+60*n) * time.Millisecond
				}
				return 20 * time.Millisecond
			}
		})
		serving := independentTasks(4, time.Hour)
		serving.LongRunning, serving.Latency, serving.MaxPerWorker = true, 50*time.Millisecond, 1
		is.NoErr(c.submit("a", "patient", "serving", serving))
		time.Sleep(3 * time.Second)
		filler := independentTasks(4, time.Hour)
		filler.LongRunning, filler.BestEffort, filler.MaxPerWorker, filler.MaxUnavailable = true, true, 1, 1
		is.NoErr(c.submit("a", "patient", "filler", filler))
		time.Sleep(15 * time.Second)
		working := func() (n int) {
			for i := range filler.Tasks {
				if c.fleet.TaskState(crank.TaskID{Job: "filler", Index: i}).Working {
					n++
				}
			}
			return n
		}
		is.Equal(working(), filler.Tasks)
		c.fleet.UpdateConfig(func(*crankfakefleet.Config) { slow = true })
		time.Sleep(1700 * time.Millisecond) // the first one has been stopped, and the second one's limit is not reached
		is.Equal(working(), filler.Tasks-1)
		time.Sleep(2 * time.Second) // the target is exceeded for 3.7 s, of 4 s at most
		is.Equal(working(), filler.Tasks-2)
	})
}
