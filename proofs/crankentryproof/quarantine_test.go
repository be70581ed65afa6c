package crankentryproof

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakefleet"

	"github.com/matryer/is"
)

// Jobs whose tasks fail everywhere had all workers quarantined, and sound jobs stood.
func TestJobsThatAlwaysFailDoNotQuarantineThePool(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(8)
		time.Sleep(settled)
		c.fleet.UpdateConfig(func(f *crankfakefleet.Config) {
			f.Fails = func(id crank.TaskID, _ int64, _ string) bool { return id.Job != "sound" }
		})
		for i := range 16 {
			is.NoErr(c.submit("a", "patient", fmt.Sprintf("hopeless%d", i), independentTasks(4, 300*time.Millisecond)))
		}
		time.Sleep(1500 * time.Millisecond)
		is.NoErr(c.submit("a", "patient", "sound", independentTasks(4, time.Second)))
		c.awaitPhase("a", "patient", "sound", crank.PhaseCompleted, 3*time.Second)
	})
}

// All workers with a label were quarantined by hopeless jobs that require it, and few of the
// pool with them.
func TestJobsThatAlwaysFailDoNotQuarantineALabel(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(16)
		time.Sleep(settled)
		c.fleet.UpdateConfig(func(f *crankfakefleet.Config) {
			f.Fails = func(id crank.TaskID, _ int64, _ string) bool { return id.Job != "sound" }
		})
		step := independentTasks(4, 300*time.Millisecond)
		step.Label, step.MaxPerWorker = "r0", 1 // of 4 workers
		for i := range 8 {
			is.NoErr(c.submit("a", "patient", fmt.Sprintf("hopeless%d", i), step))
		}
		time.Sleep(1500 * time.Millisecond)
		is.NoErr(c.submit("a", "patient", "sound", step))
		c.awaitPhase("a", "patient", "sound", crank.PhaseCompleted, 3*time.Second)
	})
}

// Workers that fail all that they start are still quarantined while hopeless jobs come.
func TestFailingWorkersAreQuarantinedBesideJobsThatAlwaysFail(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(8)
		time.Sleep(settled)
		var failed atomic.Int32
		c.fleet.UpdateConfig(func(f *crankfakefleet.Config) {
			f.Fails = func(id crank.TaskID, _ int64, worker string) bool {
				sound := strings.HasPrefix(id.Job, "sound")
				if sound && worker == "w00" {
					failed.Add(1)
				}
				return !sound || worker == "w00"
			}
		})
		for i := range 20 {
			is.NoErr(c.submit("a", "patient", fmt.Sprintf("sound%d", i), independentTasks(2, 300*time.Millisecond)))
			is.NoErr(c.submit("a", "patient", fmt.Sprintf("hopeless%d", i), independentTasks(1, 300*time.Millisecond)))
			time.Sleep(400 * time.Millisecond)
		}
		for i := range 20 {
			c.awaitPhase("a", "patient", fmt.Sprintf("sound%d", i), crank.PhaseCompleted, 5*time.Second)
		}
		is.True(failed.Load() <= 6) // two jobs, and one more after the quarantine
	})
}

// Tasks that make no progress anywhere had all workers quarantined, and sound jobs stood.
func TestTasksWithoutProgressDoNotQuarantineThePool(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(8)
		time.Sleep(settled)
		stuck := true
		c.fleet.UpdateConfig(func(f *crankfakefleet.Config) { f.Stuck = func(string) bool { return stuck } })
		is.NoErr(c.submit("a", "patient", "hopeless", onePerWorker(8, 2*time.Second)))
		time.Sleep(3500 * time.Millisecond)
		c.fleet.UpdateConfig(func(*crankfakefleet.Config) { stuck = false })
		is.NoErr(c.submit("a", "patient", "sound", independentTasks(4, time.Second)))
		c.awaitPhase("a", "patient", "sound", crank.PhaseCompleted, 3*time.Second)
	})
}

// With adaptive planning, jobs that fail everywhere had workers avoided that are sound.
func TestJobsThatAlwaysFailCondemnNoWorkersWithAdaptivePlanning(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.planning = crank.Planning{Adaptive: true}
		c.setUp(16)
		time.Sleep(settled)
		c.fleet.UpdateConfig(func(f *crankfakefleet.Config) {
			f.Fails = func(id crank.TaskID, _ int64, _ string) bool { return !strings.HasPrefix(id.Job, "sound") }
		})
		for i := range 8 {
			is.NoErr(c.submit("a", "patient", fmt.Sprintf("hopeless%d", i), independentTasks(8, 300*time.Millisecond)))
			is.NoErr(c.submit("a", "urgent", fmt.Sprintf("hopeless-gang%d", i), gangStep(4, 1, 300*time.Millisecond)))
		}
		time.Sleep(1500 * time.Millisecond)
		is.NoErr(c.submit("a", "patient", "sound", independentTasks(16, time.Second)))
		is.NoErr(c.submit("a", "urgent", "sound-gang", gangStep(4, 8, time.Second)))
		c.awaitPhase("a", "patient", "sound", crank.PhaseCompleted, 3*time.Second)
		c.awaitPhase("a", "urgent", "sound-gang", crank.PhaseCompleted, 3*time.Second)
	})
}

// Work that only failing workers have room for waited for others although these have recovered.
func TestTaskIsNotLeftIdleForLackOfTrust(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.planning = crank.Planning{Adaptive: true}
		c.setUp(8)
		time.Sleep(settled)
		is.NoErr(c.submit("a", "patient", "long", onePerWorker(6, time.Minute)))
		time.Sleep(500 * time.Millisecond)
		failing := true
		c.fleet.UpdateConfig(func(f *crankfakefleet.Config) {
			f.Broken = func(string) bool { return failing }
		})
		whole := gangStep(2, 8, time.Second)
		whole.SameRack = false
		is.NoErr(c.submit("a", "patient", "gang", whole))
		time.Sleep(80 * time.Millisecond)
		c.fleet.UpdateConfig(func(*crankfakefleet.Config) { failing = false })
		c.awaitPhase("a", "patient", "gang", crank.PhaseCompleted, 1500*time.Millisecond+time.Second)
	})
}

// Two services that fail in turn kept the only worker with their label in quarantine, and
// neither ran for longer than a long-running task may wait.
func TestOnlyWorkerWithALabelIsNotQuarantined(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(5) // the last one is alone on its rack
		time.Sleep(settled)
		c.fleet.UpdateConfig(func(f *crankfakefleet.Config) {
			f.RunTime = func(crank.TaskID, string) time.Duration { return 1500 * time.Millisecond }
			f.Fails = func(crank.TaskID, int64, string) bool { return true }
		})
		services := []string{"service1", "service2"}
		for _, id := range services {
			st := independentTasks(1, time.Hour)
			st.LongRunning, st.Label = true, "r1"
			is.NoErr(c.submit("a", "patient", id, st))
		}
		ran, longest := make(map[string]time.Time), time.Duration(0)
		for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(samplePeriod) {
			for _, id := range services {
				if ran[id].IsZero() || c.fleet.TaskState(crank.TaskID{Job: id}).Worker != "" {
					ran[id] = time.Now()
				}
				longest = max(longest, time.Since(ran[id]))
			}
		}
		is.True(longest < lastingWithin)
	})
}
