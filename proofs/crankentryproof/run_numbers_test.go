package crankentryproof

import (
	"testing"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakefleet"

	"github.com/matryer/is"
)

// A long-running task that had been restarted more often in one term than the term has run
// numbers was refused as old by its worker under the next one, once for each further restart.
func TestTaskRestartsUnderTheNextTermHoweverOftenItFailed(t *testing.T) {
	const runs = 1010 // ten more than a term has numbers for
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(4)
		time.Sleep(settled)
		c.fleet.UpdateConfig(func(f *crankfakefleet.Config) {
			f.RunTime = func(crank.TaskID, string) time.Duration { return 10 * time.Millisecond }
			f.Fails = func(crank.TaskID, int64, string) bool { return true }
		})
		service := independentTasks(1, time.Hour)
		service.LongRunning = true
		is.NoErr(c.submit("a", "patient", "service", service))
		for c.fleet.Runs() < runs {
			time.Sleep(time.Second)
		}
		term := c.termNumber()
		c.kill(c.leader())
		c.awaitTermAfter(term)
		started, longest, n := time.Now(), time.Duration(0), c.fleet.Runs()
		for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(samplePeriod) {
			if c.fleet.Runs() > n {
				started, n = time.Now(), c.fleet.Runs()
			}
			longest = max(longest, time.Since(started))
		}
		is.True(longest < lastingWithin)
	})
}
