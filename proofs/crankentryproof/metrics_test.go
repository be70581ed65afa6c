package crankentryproof

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
)

// recordMetrics has the instances that are started from now on record metrics.
func (c *cluster) recordMetrics() {
	c.metrics = make(map[string]tally.TestScope)
	for _, name := range instanceNames {
		c.metrics[name] = tally.NewTestScope("", nil)
	}
}

// timed returns how often all instances have recorded a time.
func (c *cluster) timed(metric string) (n int) {
	for _, scope := range c.metrics {
		for key, t := range scope.Snapshot().Timers() {
			if strings.HasPrefix(key, metric+"+") {
				n += len(t.Values())
			}
		}
	}
	return n
}

// The time until a job began was recorded under each term that started one of its tasks, for
// later terms with the time until then.
func TestTimeUntilAJobBeganIsRecordedOnce(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.recordMetrics()
		c.setUp(2)
		time.Sleep(settled)
		second := wholeWorker()
		second.After, second.RunTime = []int{0}, time.Second
		is.NoErr(c.submit(c.notLeader(), "patient", "job1", independentTasks(1, time.Second), second))
		filler := independentTasks(2, 6*time.Second)
		filler.Demand.Accelerators = 7
		is.NoErr(c.submit(c.notLeader(), "urgent", "filler", filler))
		time.Sleep(3 * time.Second)
		term := c.termNumber()
		c.kill(c.leader())
		c.awaitTermAfter(term)
		c.awaitPhase(c.leader(), "patient", "job1", "completed", 10*time.Second)
		is.Equal(c.timed("accepted_to_begun"), 2) // of two jobs
	})
}
