package crankentryproof

import (
	"testing"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakefleet"
	"cranberrycrank/standin/crankfakeplatform"

	"github.com/matryer/is"
)

// restart starts a new incarnation of a worker under its ID.
func (c *cluster) restart(id string) { c.restartAt(id, time.Now()) }

// restartAt is restart for a worker whose time of day is at now.
func (c *cluster) restartAt(id string, now time.Time) {
	var e crank.WorkerEntry
	c.update(func() { e = c.workerEntries[id] })
	e.Draining = false
	e = c.fleet.AddAt(e, now)
	c.update(func() {
		c.workerEntries[id] = e
		delete(c.down, id)
	})
}

// putEntry writes the entry of a worker at once.
func (c *cluster) putEntry(id string) {
	var e crank.WorkerEntry
	c.update(func() { e = c.workerEntries[id] })
	c.store.Put(crank.WorkerTopic, id, crankfakeplatform.EncodeEntry(e))
}

// awaitStartOrder cuts the worker of the next start order off, and returns its ID. The
// order is lost, or takes effect after the delay.
func (c *cluster) awaitStartOrder(delay time.Duration, order func()) string {
	return c.awaitOrder(crankfakefleet.Fault{DropRequest: delay == 0, EffectDelay: delay}, order)
}

// awaitOrder cuts the worker of the next start order off, and returns its ID. The order
// has the fault.
func (c *cluster) awaitOrder(fault crankfakefleet.Fault, order func()) string {
	ordered := make(chan string, 1)
	done := false
	c.update(func() {
		c.workerFaults = func(_, worker, call string) crankfakefleet.Fault {
			if call != "start" || done {
				return crankfakefleet.Fault{}
			}
			done = true
			c.unreachable[worker], c.silent[worker] = true, true
			ordered <- worker
			return fault
		}
	})
	order()
	return <-ordered
}

// A start order that reached a worker's next incarnation was counted for the old one,
// and the task was started elsewhere as well.
func TestStartOrderThatReachedARestartedWorkerRunsOnce(t *testing.T) {
	const (
		crash     = 100 * time.Millisecond // from the start order on
		reconnect = 500 * time.Millisecond
	)
	for _, v := range []struct {
		name       string
		delay      time.Duration   // of the first order's effect, 0 if it is lost
		restarts   []time.Duration // from the start order on
		leaderKill time.Duration   // from the start order on, 0 for none
	}{
		{"repeated", 0, []time.Duration{300 * time.Millisecond}, 0},
		{"repeated_after_two_restarts", 0, []time.Duration{200 * time.Millisecond, 400 * time.Millisecond}, 0},
		{"repeated_between_two_restarts", 0, []time.Duration{300 * time.Millisecond, 1500 * time.Millisecond}, 0},
		{"late", 1200 * time.Millisecond, []time.Duration{300 * time.Millisecond}, 0},
		{"very_late", 4 * time.Second, []time.Duration{300 * time.Millisecond}, 0},
		{"late_after_two_restarts", 2 * time.Second, []time.Duration{300 * time.Millisecond, 1500 * time.Millisecond}, 0},
		{"late_between_two_restarts", 700 * time.Millisecond, []time.Duration{300 * time.Millisecond, 1500 * time.Millisecond}, 0},
		{"leader_killed_before_the_repeat", 0, []time.Duration{300 * time.Millisecond}, 500 * time.Millisecond},
		{"leader_killed_after_the_repeat", 0, []time.Duration{300 * time.Millisecond}, 700 * time.Millisecond},
		{"late_and_leader_killed", 1200 * time.Millisecond, []time.Duration{300 * time.Millisecond}, 500 * time.Millisecond},
		{"very_late_and_leader_killed", 4 * time.Second, []time.Duration{300 * time.Millisecond}, 500 * time.Millisecond},
		{"late_two_restarts_and_leader_killed", 2 * time.Second, []time.Duration{300 * time.Millisecond, 1500 * time.Millisecond}, time.Second},
	} {
		t.Run(v.name, func(t *testing.T) {
			runInCluster(t, func(t *testing.T, c *cluster) {
				is := is.New(t)
				c.setUp(4)
				time.Sleep(settled)
				caller := c.notLeader()
				worker := c.awaitStartOrder(v.delay, func() {
					is.NoErr(c.submit(caller, "patient", "job1", independentTasks(1, 5*time.Second)))
				})
				time.AfterFunc(crash, func() { c.fleet.Crash(worker) })
				for _, at := range v.restarts {
					time.AfterFunc(at, func() { c.restart(worker) })
				}
				time.AfterFunc(reconnect, func() { c.reconnectWorker(worker) })
				if v.leaderKill > 0 {
					time.Sleep(v.leaderKill)
					c.kill(c.leader())
				}
				c.awaitPhase(caller, "patient", "job1", crank.PhaseCompleted, 40*time.Second)
			})
		})
	}
}

// A renewal for the old incarnation acknowledged an end at the next one that the leader
// had not seen, and the task was started again.
func TestEndAtARestartedWorkerIsNotAcknowledgedUnseen(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(4)
		is.NoErr(c.submit("a", "patient", "job0", independentTasks(32, time.Second))) // fills all workers
		time.Sleep(settled)
		worker := c.awaitStartOrder(0, func() {
			is.NoErr(c.submit("a", "patient", "job1", independentTasks(1, 200*time.Millisecond)))
		})
		time.Sleep(100 * time.Millisecond)
		c.fleet.Crash(worker)
		time.Sleep(200 * time.Millisecond)
		c.restart(worker)
		c.update(func() { delete(c.unreachable, worker) })
		time.Sleep(3 * time.Second)
		c.reconnectWorker(worker)
		c.awaitPhase("a", "patient", "job1", crank.PhaseCompleted, 20*time.Second)
	})
}

// Tasks of a worker that had restarted and then left, both before the next leader reached
// it, were held for 17 s: only an answer of the next incarnation accounted for the former.
func TestWorkerThatRestartedAndLeftHoldsUpNoTask(t *testing.T) {
	for _, v := range []struct {
		name string
		end  func(c *cluster, worker string)
	}{
		{"process_ended", func(c *cluster, worker string) {
			c.putEntry(worker)
			c.leave(worker)
		}},
		{"left", func(c *cluster, worker string) {
			c.drain(worker)
			time.Sleep(time.Second)
			c.losePower(worker)
			c.removeEntry(worker)
		}},
	} {
		t.Run(v.name, func(t *testing.T) {
			runInCluster(t, func(t *testing.T, c *cluster) {
				is := is.New(t)
				c.setUp(8)
				time.Sleep(settled)
				log := c.recordStarts()
				id := crank.TaskID{Job: "job1"}
				is.NoErr(c.submit("a", "patient", "job1", independentTasks(16, 20*time.Second)))
				time.Sleep(time.Second)
				worker, term := log.workerOf(id), c.termNumber()
				time.AfterFunc(100*time.Millisecond, func() { c.losePower(worker) })
				time.AfterFunc(200*time.Millisecond, func() {
					c.update(func() { c.unreachable[worker] = true })
					c.restart(worker)
					v.end(c, worker)
					c.update(func() { delete(c.unreachable, worker) })
				})
				c.kill(c.leader())
				c.awaitTermAfter(term)
				time.Sleep(4 * time.Second)
				is.True(log.workerOf(id) != worker)
			})
		})
	}
}

// A worker that started again with its time of day set back must be used again, and must not
// hold up its former tasks for longer than a lease.
func TestWorkerThatRestartsWithAnEarlierStartTimeIsUsed(t *testing.T) {
	for _, v := range []struct {
		name string
		lose func(c *cluster)
	}{
		{"leader_stays", func(*cluster) {}},
		{"leader_killed", func(c *cluster) { c.kill(c.leader()) }},
	} {
		t.Run(v.name, func(t *testing.T) {
			runInCluster(t, func(t *testing.T, c *cluster) {
				is := is.New(t)
				c.setUp(4)
				time.Sleep(settled)
				log := c.recordStarts()
				is.NoErr(c.submit("a", "patient", "job1", independentTasks(32, 20*time.Second))) // fills all workers
				time.Sleep(time.Second)
				const worker = "w02"
				c.losePower(worker)
				c.restartAt(worker, time.Now().Add(-time.Minute))
				v.lose(c)
				time.Sleep(lostWorkerLimit)
				is.Equal(c.fleet.Runs(), 40)                  // its 8 tasks run again
				is.Equal(len(log.tasksAt("job1", worker)), 8) // there
				c.ensureAllRunning()
				c.awaitPhase("a", "patient", "job1", crank.PhaseCompleted, 40*time.Second)
				term := c.termNumber()
				c.kill(c.leader())
				c.awaitTermAfter(term)
				is.NoErr(c.submit(c.notLeader(), "patient", "job2", independentTasks(32, time.Second)))
				time.Sleep(3 * time.Second)
				is.Equal(len(log.tasksAt("job2", worker)), 8)
			})
		})
	}
}
