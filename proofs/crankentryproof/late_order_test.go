package crankentryproof

import (
	"testing"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakefleet"

	"github.com/matryer/is"
)

// An order without an answer took effect after its worker had restarted unseen, when the
// leader had taken the process for ended, or the lease for expired, and had started the
// task elsewhere.
func TestLateOrderAfterAnUnseenRestartRunsOnce(t *testing.T) {
	processEnds := func(c *cluster, worker string) {
		c.fleet.Leave(worker)
		c.update(func() { delete(c.unreachable, worker) })
	}
	crashes := func(c *cluster, worker string) { c.fleet.Crash(worker) }
	for _, v := range []struct {
		name    string
		transit time.Duration // of the order
		delay   time.Duration // of the order's effect after that
		end     func(c *cluster, worker string)
		restart time.Duration // from the start order on
		seen    time.Duration // when the leader reaches the next incarnation
	}{
		{"process_ended", 0, 3 * time.Second, processEnds, 2500 * time.Millisecond, 5 * time.Second},
		{"lease_expired", 0, 4 * time.Second, crashes, 300 * time.Millisecond, 15 * time.Second},
		{"process_ended_on_the_way", 500 * time.Millisecond, 3 * time.Second, processEnds, 450 * time.Millisecond, 5 * time.Second},
		{"lease_expired_on_the_way", 500 * time.Millisecond, 10 * time.Second, crashes, 300 * time.Millisecond, 25 * time.Second},
	} {
		t.Run(v.name, func(t *testing.T) {
			runInCluster(t, func(t *testing.T, c *cluster) {
				is := is.New(t)
				c.setUp(4)
				time.Sleep(settled)
				caller := c.notLeader()
				worker := c.awaitOrder(crankfakefleet.Fault{TransitTime: v.transit, EffectDelay: v.delay}, func() {
					is.NoErr(c.submit(caller, "patient", "job1", independentTasks(1, 5*time.Second)))
				})
				time.AfterFunc(100*time.Millisecond, func() { v.end(c, worker) })
				time.AfterFunc(v.restart, func() {
					c.update(func() { c.unreachable[worker] = true })
					c.restart(worker)
				})
				time.AfterFunc(v.seen, func() { c.reconnectWorker(worker) })
				c.awaitPhase(caller, "patient", "job1", crank.PhaseCompleted, 40*time.Second)
			})
		})
	}
}

// A task whose first order had got no answer was held for 22 s when its worker started
// again long after that order.
func TestOldUnansweredOrderHoldsUpNoTask(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(4)
		time.Sleep(settled)
		log := c.recordStarts()
		caller := c.notLeader()
		worker := c.awaitStartOrder(100*time.Millisecond, func() {
			is.NoErr(c.submit(caller, "patient", "job1", independentTasks(1, time.Minute)))
		})
		time.Sleep(700 * time.Millisecond)
		c.reconnectWorker(worker)
		time.Sleep(30 * time.Second)
		id := crank.TaskID{Job: "job1"}
		is.Equal(log.workerOf(id), worker) // the run goes on

		c.update(func() { c.unreachable[worker] = true })
		c.losePower(worker)
		time.Sleep(500 * time.Millisecond)
		c.restart(worker)
		time.Sleep(9 * time.Second)
		if log.workerOf(id) == worker {
			t.Error("the task waits 9 s after its worker has started again")
		}
	})
}
