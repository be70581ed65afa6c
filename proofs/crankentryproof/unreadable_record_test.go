package crankentryproof

import (
	"testing"
	"time"

	crank "cranberrycrank"

	"github.com/matryer/is"
)

// killAndRecord kills the leader, and puts a record into the job topic before the next
// term begins.
func (c *cluster) killAndRecord(key, value string) {
	time.AfterFunc(100*time.Millisecond, func() { c.store.Put(crank.JobTopic, key, []byte(value)) })
	c.kill(c.leader())
}

// A leader ran the tasks of a job again whose progress it could not read.
func TestLeaderRunsNoJobWhoseProgressItCanNotRead(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(4)
		last := independentTasks(1, 20*time.Second)
		last.After = []int{0}
		is.NoErr(c.submit("a", "patient", "job1", independentTasks(4, time.Second), last))
		time.Sleep(3 * time.Second)
		is.Equal(c.fleet.Runs(), 5)
		c.killAndRecord("progress/job1", `{"term":1,"done":7}`)
		time.Sleep(15 * time.Second)
		is.Equal(c.fleet.Runs(), 5)
		is.NoErr(c.submit(c.notLeader(), "patient", "job2", independentTasks(1, time.Second)))
		c.awaitPhase(c.notLeader(), "patient", "job2", crank.PhaseCompleted, 5*time.Second)
	})
}

// An instance of an earlier version that took the term over ran tasks again that a later
// version had recorded as done, or that still ran at workers which it did not know of.
func TestEarlierVersionDoesNotLeadOnLaterRecords(t *testing.T) {
	for _, v := range []struct{ key, value string }{
		{"progress/job1", `{"format":1000000,"term":1}`},
		{"roster", `{"format":1000000,"term":1,"lives":[]}`},
	} {
		t.Run(v.key, func(t *testing.T) {
			runInCluster(t, func(t *testing.T, c *cluster) {
				is := is.New(t)
				c.setUp(4)
				time.Sleep(settled)
				is.NoErr(c.submit("a", "patient", "job1", independentTasks(8, 20*time.Second)))
				time.Sleep(time.Second)
				c.cutWorker(workerID(0))
				c.killAndRecord(v.key, v.value)
				term := c.termNumber()
				time.Sleep(30 * time.Second)
				is.Equal(c.fleet.Runs(), 8)
				is.True(c.termNumber()-term < 15) // instances that can't lead do not claim at once again
			})
		})
	}
}
