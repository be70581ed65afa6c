package crankentryproof

import (
	"testing"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakefleet"

	"github.com/matryer/is"
)

// The last task of a service that may have one unavailable was stopped for urgent work while
// the worker of the other one was down, or did not answer, and its lease was not over.
func TestTaskAtASilentWorkerIsUnavailable(t *testing.T) {
	for _, v := range []struct {
		name string
		lose func(c *cluster, worker string)
	}{
		{"crashed", func(c *cluster, worker string) {
			c.losePower(worker)
			time.AfterFunc(entryLifetime, func() { c.removeEntry(worker) })
		}},
		{"unreachable", func(c *cluster, worker string) {
			c.update(func() {
				c.workerFaults = func(_, w, _ string) crankfakefleet.Fault { return crankfakefleet.Fault{DropRequest: w == worker} }
			})
		}},
	} {
		t.Run(v.name, func(t *testing.T) {
			runInCluster(t, func(t *testing.T, c *cluster) {
				is := is.New(t)
				c.setUp(3)
				time.Sleep(settled)
				log := c.recordStarts()
				service := wholeWorker()
				service.Tasks, service.LongRunning, service.MaxUnavailable = 2, true, 1
				is.NoErr(c.submit("a", "patient", "service", service))
				time.Sleep(time.Second)
				c.submitMany("urgent", "running", 1)
				time.Sleep(5 * time.Second)
				is.Equal(len(log.started("service")), 2)
				v.lose(c, log.workerOf(crank.TaskID{Job: "service"}))
				time.Sleep(5 * time.Second)
				c.submitMany("urgent", "late", 1)
				time.Sleep(8 * time.Second)
				is.True(!c.fleet.HasStarted("late0"))
				clearWorkerFaults(c)
			})
		})
	}
}
