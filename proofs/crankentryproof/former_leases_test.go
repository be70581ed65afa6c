package crankentryproof

import (
	"sync/atomic"
	"testing"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakefleet"
	"cranberrycrank/standin/crankfakestore"

	"github.com/matryer/is"
)

// lostWorkerLimit is how long tasks of a worker that is lost with the leader may wait.
const lostWorkerLimit = 10 * time.Second

// tasksAt returns the tasks of a job whose newest start was at a worker.
func (l *startLog) tasksAt(job, worker string) []crank.TaskID {
	var tasks []crank.TaskID
	for id := range l.started(job) {
		if l.workerOf(id) == worker {
			tasks = append(tasks, id)
		}
	}
	return tasks
}

// awaitMoved waits until no task was started last at a worker, and returns how long that took.
func (l *startLog) awaitMoved(tasks []crank.TaskID, worker string) time.Duration {
	begun := time.Now()
	for _, id := range tasks {
		for l.workerOf(id) == worker && time.Since(begun) < time.Minute {
			time.Sleep(50 * time.Millisecond)
		}
	}
	return time.Since(begun)
}

// Tasks of a worker that lost power with the leader waited for 17 s, or 21 s with longer
// leases: as long as a leader that lives on without the store could extend them.
func TestTasksOfAWorkerLostWithTheLeaderWaitNoLongerThanALease(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(8)
		time.Sleep(settled)
		log := c.recordStarts()
		is.NoErr(c.submit("a", "patient", "job1", independentTasks(24, 30*time.Second)))
		time.Sleep(2 * time.Second)
		worker := log.workerOf(crank.TaskID{Job: "job1"})
		tasks := log.tasksAt("job1", worker)
		c.losePower(worker)
		c.kill(c.leader())
		waited := log.awaitMoved(tasks, worker)
		t.Logf("waited for %s", waited)
		if waited > lostWorkerLimit {
			t.Errorf("tasks of a worker lost with the leader waited for %s, want at most %s", waited, lostWorkerLimit)
		}
	})
}

// A leader that only one worker still reaches, and that reaches nobody else, must not
// extend its lease beyond what its successor waits for.
func TestTasksAtAWorkerCutOffWithTheLeaderRunOnce(t *testing.T) {
	for offset := time.Duration(0); offset < 600*time.Millisecond; offset += 70 * time.Millisecond {
		t.Run(offset.String(), func(t *testing.T) {
			runInCluster(t, func(t *testing.T, c *cluster) {
				is := is.New(t)
				c.setUp(8)
				time.Sleep(settled + offset)
				log := c.recordStarts()
				is.NoErr(c.submit("a", "patient", "job1", independentTasks(24, 30*time.Second)))
				time.Sleep(2 * time.Second)
				worker := log.workerOf(crank.TaskID{Job: "job1"})
				tasks := log.tasksAt("job1", worker)
				former := c.running[c.leader()].caller
				c.update(func() {
					c.silent[worker] = true
					c.workerFaults = func(caller, w, _ string) crankfakefleet.Fault {
						return crankfakefleet.Fault{DropRequest: (caller == former) != (w == worker)}
					}
				})
				c.isolate(c.leader())
				waited := log.awaitMoved(tasks, worker)
				t.Logf("waited for %s", waited)
				if waited > lostWorkerLimit {
					t.Errorf("tasks of a worker cut off with the leader waited for %s, want at most %s", waited, lostWorkerLimit)
				}
			})
		})
	}
}

// One worker that was lost with the leader held up all tasks that may have been started
// before, wherever they ran.
func TestWorkerLostWithTheLeaderHoldsUpOnlyItsOwnTasks(t *testing.T) {
	ends := []struct {
		name  string
		begin func(c *cluster, worker string) // a second before the loss
		end   func(c *cluster, worker string)
		limit time.Duration // for its tasks
	}{
		{"left", (*cluster).drain, func(c *cluster, worker string) {
			c.leave(worker)
			c.removeEntry(worker)
		}, departureLimit},
		{"restarted_and_ended", func(*cluster, string) {}, func(c *cluster, worker string) {
			c.losePower(worker)
			c.restart(worker)
			c.putEntry(worker)
			c.leave(worker)
		}, departureLimit},
		{"refuses", func(*cluster, string) {}, (*cluster).leave, lostWorkerLimit},
	}
	for _, queue := range []string{"patient", "urgent"} {
		for _, v := range ends {
			t.Run(queue+"/"+v.name, func(t *testing.T) {
				runInCluster(t, func(t *testing.T, c *cluster) {
					is := is.New(t)
					c.setUp(8)
					time.Sleep(settled)
					log := c.recordStarts()
					is.NoErr(c.submit("a", queue, "job1", independentTasks(24, 30*time.Second)))
					time.Sleep(time.Second)
					ended := log.workerOf(crank.TaskID{Job: "job1"})
					v.begin(c, ended)
					time.Sleep(time.Second)
					lost := ""
					for id := range log.started("job1") {
						if w := log.workerOf(id); w != ended {
							lost = w
						}
					}
					tasks := log.tasksAt("job1", ended)
					is.True(lost != "")
					v.end(c, ended)
					c.losePower(lost)
					term := c.termNumber()
					c.kill(c.leader())
					c.awaitTermAfter(term)
					if waited := log.awaitMoved(tasks, ended); waited > v.limit {
						t.Errorf("tasks of a worker that has ended waited for %s, since another one is silent", waited)
					}
				})
			})
		}
	}
}

// A heartbeat that was stored late made instances that loaded the topic date the leader's last
// contact too early, so that they started again what ran under its leases.
func TestTasksRunOnceAfterALateHeartbeatAndRestarts(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(8)
		time.Sleep(settled)
		log := c.recordStarts()
		is.NoErr(c.submit("a", "patient", "job1", independentTasks(24, time.Minute)))
		time.Sleep(2 * time.Second)
		worker, leader := log.workerOf(crank.TaskID{Job: "job1"}), c.leader()
		tasks, former := log.tasksAt("job1", worker), c.running[leader].caller
		var late atomic.Bool
		c.store.SetTermFaults(func(caller, call string) crankfakestore.Fault {
			if caller != former || call != "append" || late.Swap(true) {
				return crankfakestore.Fault{}
			}
			return crankfakestore.Fault{EffectDelay: 6 * time.Second}
		})
		time.Sleep(5 * time.Second)
		var others []string
		for _, name := range instanceNames {
			if name != leader {
				others = append(others, name)
				c.kill(name)
			}
		}
		time.Sleep(800 * time.Millisecond)
		c.update(func() {
			c.silent[worker] = true
			c.workerFaults = func(caller, w, _ string) crankfakefleet.Fault {
				return crankfakefleet.Fault{DropRequest: (caller == former) != (w == worker)}
			}
		})
		c.isolate(leader)
		time.Sleep(400 * time.Millisecond)
		for _, name := range others {
			c.start(name)
		}
		is.True(log.awaitMoved(tasks, worker) <= lostWorkerLimit)
	})
}

// A leader that could not read the topic of terms, while others read its heartbeats there, led
// on without any permission and started nothing.
func TestLeaderThatCanNotReadTermsGivesItsTermUp(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(8)
		time.Sleep(settled)
		log, term, blind, caller := c.recordStarts(), c.termNumber(), c.running[c.leader()].caller, c.notLeader()
		c.update(func() { c.peersCut[blind] = true })
		c.store.SetTermFaults(func(caller, call string) crankfakestore.Fault {
			return crankfakestore.Fault{DropResponse: caller == blind && call == "read"}
		})
		time.Sleep(9 * time.Second)
		is.Equal(c.termNumber(), term+1)
		is.NoErr(c.submit(caller, "patient", "job1", independentTasks(24, 2*time.Second)))
		time.Sleep(2 * time.Second)
		is.Equal(len(log.started("job1")), 24)
	})
}
