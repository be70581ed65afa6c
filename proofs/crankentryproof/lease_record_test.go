package crankentryproof

import (
	"encoding/json"
	"testing"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankjobs"
	"cranberrycrank/standin/crankfakefleet"

	"github.com/matryer/is"
)

// A stored limit of a worker's lease stayed after the worker had answered a new term. The
// next term took the worker's runs for expired.
func TestStoredLeaseLimitEndsWithTheWorkersAnswer(t *testing.T) {
	const worker = "w03"
	for _, v := range []struct {
		name  string
		limit func(c *cluster) // until a term begins that will reach the worker
	}{
		{"of_the_term_before", func(c *cluster) {
			c.update(func() { c.unreachable[worker] = true })
			time.Sleep(4500 * time.Millisecond) // longer than two renewals
			c.kill(c.leader())
		}},
		{"of_the_term_that_is_answered", func(c *cluster) {
			c.update(func() { c.unreachable[worker] = true })
			c.kill(c.leader())
			c.addWorker(4)
		}},
	} {
		t.Run(v.name, func(t *testing.T) {
			runInCluster(t, func(t *testing.T, c *cluster) {
				is := is.New(t)
				c.setUp(4)
				time.Sleep(settled)
				is.NoErr(c.submit("a", "patient", "job1", independentTasks(32, 90*time.Second))) // fills all workers
				time.Sleep(2 * time.Second)

				term := c.termNumber()
				v.limit(c)
				c.awaitTermAfter(term)
				time.Sleep(500 * time.Millisecond)
				c.update(func() { delete(c.unreachable, worker) })
				time.Sleep(30 * time.Second)

				c.cutWorker(worker)
				term = c.termNumber()
				c.kill(c.leader())
				c.addWorker(5)
				c.awaitTermAfter(term)
				time.Sleep(5 * time.Second)
				c.reconnectWorker(worker)
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// A limit that was stored in the first second of a term had no readings of clocks, so that an
// instance that had just started counted it anew when it led.
func TestLeaseLimitStoredEarlyInATermIsDated(t *testing.T) {
	const worker = "w03"
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(4)
		time.Sleep(settled)
		c.disturb(worker, crankfakefleet.Fault{NoListener: true}, false)
		term := c.termNumber()
		c.kill(c.leader())
		c.awaitTermAfter(term)
		time.Sleep(700 * time.Millisecond)
		var roster crankjobs.Roster
		for _, r := range c.store.Newest(crank.JobTopic) {
			if r.Key == "roster" {
				is.NoErr(json.Unmarshal(r.Value, &roster))
			}
		}
		is.Equal(roster.Term, c.termNumber())
		is.Equal(len(roster.LeaseLeft), 1)
		is.True(len(roster.Clocks) > 0)
	})
}
