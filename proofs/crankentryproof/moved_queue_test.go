package crankentryproof

import (
	"testing"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakeplatform"

	"github.com/matryer/is"
)

// startPoolWorker starts a worker of another pool.
func (c *cluster) startPoolWorker(i int, pool string) {
	e := c.fleet.Add(crank.WorkerEntry{
		ID: workerID(i), Pool: pool, Addr: "192.0.2.1:8080", Zone: "z0", Rack: "r9", Labels: []string{"a"},
		Capacity: crank.Demand{MilliCores: 32000, MemoryMiB: 65536, Accelerators: 8},
	})
	c.update(func() { c.workerEntries[e.ID] = e })
	c.store.Put(crank.WorkerTopic, e.ID, crankfakeplatform.EncodeEntry(e))
}

// Jobs waited for good on a full pool that their queue had left for an idle one. Those that
// have begun stay, also under a later term.
func TestJobsThatWaitFollowTheirQueue(t *testing.T) {
	for _, queue := range []string{"urgent", "patient"} {
		t.Run(queue, func(t *testing.T) {
			runInCluster(t, func(t *testing.T, c *cluster) {
				is := is.New(t)
				c.setUp(2)
				for n := range 3 {
					c.startPoolWorker(10+n, "lathe")
				}
				time.Sleep(settled)
				log := c.recordStarts()
				begun := c.submitMany(queue, "begun", 2)
				time.Sleep(time.Second)
				waiting := c.submitMany(queue, "waiting", 2)
				second := wholeWorker()
				second.After = []int{0}
				first := wholeWorker()
				first.RunTime = 4 * time.Second
				is.NoErr(c.submit("a", queue, "steps", first, second))
				time.Sleep(2 * time.Second)
				is.Equal(len(log.started("waiting0"))+len(log.started("waiting1")), 0)
				config := crank.QueueConfig{Version: 2, Workspaces: []crank.QueueWorkspace{{Name: "desk", Keys: []string{guaranteedKey}, Guaranteed: 32}}}
				for i, name := range []string{"urgent", "patient"} {
					config.Queues = append(config.Queues, crank.Queue{Name: name, Host: host, Prefix: "/" + name + "/", Pool: "lathe", Priority: i, Attempts: 3, SlackFactor: 1.5, TargetLatency: time.Second})
				}
				c.putConfig(config)
				time.Sleep(2 * time.Second)
				for _, id := range append(waiting, "steps") {
					is.Equal(len(log.started(id)), 1)
					is.True(log.workerOf(crank.TaskID{Job: id}) >= workerID(10))
				}
				term := c.termNumber()
				c.kill(c.leader())
				c.awaitTermAfter(term)
				time.Sleep(6 * time.Second) // the first step of the job of two has ended
				is.True(log.workerOf(crank.TaskID{Job: "steps", Step: 1}) >= workerID(10))
				for _, id := range begun {
					is.True(log.workerOf(crank.TaskID{Job: id}) < workerID(10))
				}
				is.Equal(c.fleet.Runs(), 6)
			})
		})
	}
}

// A later leader that found the first run of a job at a worker that was not listed, whose pool is
// not known, left the rest of the job without one.
func TestJobFoundAtAnUnlistedWorkerKeepsItsPool(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(2)
		time.Sleep(settled)
		log := c.recordStarts()
		first, second := independentTasks(1, 4*time.Second), independentTasks(1, time.Second)
		second.After = []int{0}
		is.NoErr(c.submit(c.notLeader(), "patient", "job1", first, second))
		worker := ""
		for limit := time.Now().Add(time.Second); worker == ""; worker = log.workerOf(crank.TaskID{Job: "job1"}) {
			is.True(time.Now().Before(limit))
			time.Sleep(time.Millisecond)
		}
		time.Sleep(20 * time.Millisecond) // its start is confirmed, not recorded
		c.update(func() { c.silent[worker] = true })
		c.removeEntry(worker)
		c.kill(c.leader())
		c.awaitPhase(c.notLeader(), "patient", "job1", crank.PhaseCompleted, 15*time.Second)
	})
}
