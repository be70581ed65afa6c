package crankentryproof

import (
	"slices"
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

// gauges returns the gauges of an instance that are not 0.
func (c *cluster) gauges(name string) map[string]float64 {
	set := make(map[string]float64)
	for key, g := range c.metrics[name].Snapshot().Gauges() {
		if g.Value() != 0 {
			set[key] = g.Value()
		}
	}
	return set
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

// An instance that had lost its term went on telling what waited and ran under it.
func TestLeaderWithoutItsTermTellsNothingOfIt(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.recordMetrics()
		c.setUp(2)
		time.Sleep(settled)
		c.submitMany("urgent", "running", 2)
		c.submitMany("urgent", "waiting", 3)
		time.Sleep(3 * time.Second)
		former, term := c.leader(), c.termNumber()
		is.Equal(c.gauges(former)["jobs_waiting+priority=0"], 3.0)
		c.isolate(former)
		c.awaitTermAfter(term)
		c.reconnect()
		time.Sleep(5 * time.Second)
		is.True(c.leader() != former)
		is.Equal(c.gauges(former), map[string]float64{})
		is.Equal(c.gauges(c.leader())["jobs_waiting+priority=0"], 3.0)
		is.Equal(c.gauges(c.leader())["tasks_running+"], 2.0)
	})
}

// After a hand-over jobs were told as waiting whose tasks ran at workers that had not answered
// the new leader yet.
func TestInheritedJobsThatRunAreNotToldAsWaiting(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.recordMetrics()
		c.setUp(2)
		time.Sleep(settled)
		c.submitMany("urgent", "running", 2)
		time.Sleep(3 * time.Second)
		term := c.termNumber()
		c.cutWorker(workerID(0))
		c.kill(c.leader())
		c.awaitTermAfter(term)
		var told []float64
		for until := time.Now().Add(4 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
			told = append(told, c.gauges(c.leader())["jobs_waiting+priority=0"])
		}
		is.Equal(slices.Max(told), 0.0)
		c.reconnectWorker(workerID(0))
	})
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
