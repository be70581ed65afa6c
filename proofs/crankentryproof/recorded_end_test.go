package crankentryproof

import (
	"bytes"
	"testing"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakefleet"
	"cranberrycrank/standin/crankfakestore"

	"github.com/matryer/is"
)

// hasRecordedEnd reports whether the end of a job is stored.
func (c *cluster) hasRecordedEnd(job string) bool {
	for _, r := range c.store.Newest(crank.JobTopic) {
		if r.Key == "progress/"+job && bytes.Contains(r.Value, []byte(`"outcome"`)) {
			return true
		}
	}
	return false
}

// A failed job was cancelled after its end was stored. The leader wrote the end again as the
// last of its tasks had stopped, so that the cancellation came before it.
func TestFailedJobIsNotCancelledByALaterCancellation(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(4)
		c.fleet.UpdateConfig(func(f *crankfakefleet.Config) {
			f.Fails = func(id crank.TaskID, _ int64, _ string) bool { return id.Step == 0 }
		})
		failing, stopped := independentTasks(1, time.Second), independentTasks(1, time.Minute)
		stopped.Checkpoints = true
		is.NoErr(c.submit("a", "patient", "job1", failing, stopped))
		leader, asked := c.running[c.leader()].caller, ""
		for _, name := range instanceNames {
			if name != c.leader() {
				asked = name
			}
		}
		time.Sleep(time.Second) // the job is read
		c.update(func() {
			c.storeFaults = func(caller, call string) crankfakestore.Fault {
				return crankfakestore.Fault{DropResponse: caller != leader && call == "read"}
			}
		})
		for range 20000 {
			if c.hasRecordedEnd("job1") {
				break
			}
			time.Sleep(time.Millisecond)
		}
		is.True(c.hasRecordedEnd("job1"))
		is.NoErr(c.cancel(asked, "patient", "job1"))
		clearStoreFaults(c)
		time.Sleep(5 * time.Second)
		for _, name := range instanceNames { // those that load the topic anew, too
			got, err := c.phase(name, "patient", "job1")
			is.NoErr(err)
			is.Equal(got, crank.PhaseFailed)
			c.kill(name)
			c.start(name)
			time.Sleep(3 * time.Second)
			got, err = c.phase(name, "patient", "job1")
			is.NoErr(err)
			is.Equal(got, crank.PhaseFailed)
		}
	})
}
