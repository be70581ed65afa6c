package crankentryproof

import (
	"maps"
	"sync"
	"testing"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakefleet"
	"cranberrycrank/standin/crankfakeplatform"

	"github.com/matryer/is"
)

// entryLifetime is how long a silent worker's entry stays in the list.
const entryLifetime = 3 * heartbeatInterval

// startLog records the first start of each task.
type startLog struct {
	mu     sync.Mutex
	first  map[crank.TaskID]time.Time
	worker map[crank.TaskID]string // of the newest start
}

// recordStarts records the starts of tasks from now on.
func (c *cluster) recordStarts() *startLog {
	l := &startLog{first: make(map[crank.TaskID]time.Time), worker: make(map[crank.TaskID]string)}
	c.fleet.UpdateConfig(func(f *crankfakefleet.Config) {
		runTime := f.RunTime
		f.RunTime = func(id crank.TaskID, worker string) time.Duration {
			l.mu.Lock()
			defer l.mu.Unlock()
			if l.first[id].IsZero() {
				l.first[id] = time.Now()
			}
			l.worker[id] = worker
			return runTime(id, worker)
		}
	})
	return l
}

// started returns the tasks of a job that have started.
func (l *startLog) started(job string) map[crank.TaskID]time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	tasks := maps.Clone(l.first)
	maps.DeleteFunc(tasks, func(id crank.TaskID, _ time.Time) bool { return id.Job != job })
	return tasks
}

// drain reports that a worker shuts down soon.
func (c *cluster) drain(id string) {
	var e crank.WorkerEntry
	c.update(func() {
		e = c.workerEntries[id]
		e.Draining = true
		c.workerEntries[id] = e
	})
	c.store.Put(crank.WorkerTopic, id, crankfakeplatform.EncodeEntry(e))
}

// leave ends a worker's process. Its entry stays.
func (c *cluster) leave(id string) {
	c.fleet.Leave(id)
	c.update(func() { c.down[id] = true })
}

// losePower crashes a worker. Its entry stays.
func (c *cluster) losePower(id string) {
	c.fleet.Crash(id)
	c.update(func() { c.down[id] = true })
}

// cutWorker cuts a worker off from all instances and from the store. It runs on.
func (c *cluster) cutWorker(id string) {
	c.update(func() { c.unreachable[id], c.silent[id] = true, true })
}

func (c *cluster) reconnectWorker(id string) {
	c.update(func() {
		delete(c.unreachable, id)
		delete(c.silent, id)
	})
}

// removeEntry takes a worker out of the list.
func (c *cluster) removeEntry(id string) { c.store.Put(crank.WorkerTopic, id, nil) }

// awaitTermAfter waits for a newer term and returns its number.
func (c *cluster) awaitTermAfter(number int64) {
	c.t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for c.termNumber() <= number {
		if time.Now().After(deadline) {
			c.t.Fatalf("no term after %d", number)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// backlog is work that is accepted before the leader is lost: "short" ends soon and
// makes room, "long" has running and waiting tasks, and "queued" has no start.
type backlog struct {
	log     *startLog
	waiting int // tasks of "long" without a start when the leader is lost
}

const (
	longTasks   = 44
	queuedTasks = 2
)

// submitBacklog fills eight workers. Tasks of "short" run until the given time.
func (c *cluster) submitBacklog(shortRunTime time.Duration) *backlog {
	is := is.New(c.t)
	b := &backlog{log: c.recordStarts()}
	is.NoErr(c.submit("a", "patient", "short", independentTasks(32, shortRunTime)))
	time.Sleep(100 * time.Millisecond)
	is.NoErr(c.submit("a", "patient", "long", independentTasks(longTasks, 20*time.Second)))
	time.Sleep(100 * time.Millisecond)
	is.NoErr(c.submit("a", "patient", "queued", independentTasks(queuedTasks, 40*time.Second)))
	return b
}

// loseLeader calls lose with the leader's name and waits for the next term.
func (c *cluster) loseLeader(b *backlog, lose func(name string)) {
	is := is.New(c.t)
	b.waiting = longTasks - len(b.log.started("long"))
	is.True(b.waiting > 0)
	is.True(!c.fleet.HasStarted("queued"))
	term := c.termNumber()
	lose(c.leader())
	c.awaitTermAfter(term)
}

// Bounds from the start of the new term.
const (
	queuedStartLimit  = 3 * time.Second
	waitingStartLimit = 5 * time.Second
)

// checkBacklog checks that the new term starts the backlog in time.
func (c *cluster) checkBacklog(b *backlog) {
	c.t.Helper()
	time.Sleep(queuedStartLimit)
	if n := len(b.log.started("queued")); n < queuedTasks {
		c.t.Errorf("%d of %d tasks of the job without a start run %s after the term began", n, queuedTasks, queuedStartLimit)
	}
	time.Sleep(waitingStartLimit - queuedStartLimit)
	if n := len(b.log.started("long")); n < longTasks {
		c.t.Errorf("%d of the %d waiting tasks have not started %s after the term began", longTasks-n, b.waiting, waitingStartLimit)
	}
	c.ensureAllRunning()
	for _, id := range []string{"short", "long", "queued"} {
		c.awaitPhase("a", "patient", id, crank.PhaseCompleted, 90*time.Second)
	}
}

// Each later term waited 17 s for a worker that had left or lost power, with all jobs
// that an earlier term had claimed.
func TestInheritedJobsStartAfterAWorkerHasLeft(t *testing.T) {
	const worker = "w05"
	for _, v := range []struct {
		name         string
		shortRunTime time.Duration // until just after the leader is lost
		lose         func(c *cluster, b *backlog)
	}{
		{"its_entry_is_removed", 5 * time.Second, func(c *cluster, b *backlog) {
			c.drain(worker)
			time.Sleep(3 * time.Second)
			c.leave(worker)
			c.removeEntry(worker)
			time.Sleep(time.Second)
			c.loseLeader(b, c.kill)
		}},
		{"its_entry_is_removed_later", 5 * time.Second, func(c *cluster, b *backlog) {
			c.drain(worker)
			time.Sleep(3 * time.Second)
			c.leave(worker)
			time.Sleep(time.Second)
			c.loseLeader(b, c.kill)
			time.AfterFunc(2*time.Second, func() { c.removeEntry(worker) })
		}},
		{"its_entry_is_listed", 5 * time.Second, func(c *cluster, b *backlog) {
			c.drain(worker)
			time.Sleep(3 * time.Second)
			c.leave(worker)
			time.Sleep(time.Second)
			c.loseLeader(b, c.kill)
		}},
		{"without_draining", 5 * time.Second, func(c *cluster, b *backlog) {
			time.Sleep(3 * time.Second)
			c.leave(worker)
			time.Sleep(time.Second)
			c.loseLeader(b, c.kill)
		}},
		{"it_lost_power_before", 7 * time.Second, func(c *cluster, b *backlog) {
			c.losePower(worker)
			time.Sleep(entryLifetime)
			c.removeEntry(worker)
			time.Sleep(1500 * time.Millisecond)
			c.loseLeader(b, c.kill)
		}},
		{"it_lost_power_with_the_leader", 5 * time.Second, func(c *cluster, b *backlog) {
			time.Sleep(4 * time.Second)
			c.losePower(worker)
			time.AfterFunc(entryLifetime, func() { c.removeEntry(worker) })
			time.Sleep(200 * time.Millisecond)
			c.loseLeader(b, c.kill)
		}},
		{"it_is_cut_off_with_the_leader", 5 * time.Second, func(c *cluster, b *backlog) {
			time.Sleep(4 * time.Second)
			c.cutWorker(worker)
			time.AfterFunc(entryLifetime, func() { c.removeEntry(worker) })
			time.AfterFunc(8*time.Second, func() { c.reconnectWorker(worker) })
			time.Sleep(200 * time.Millisecond)
			c.loseLeader(b, c.kill)
		}},
		{"the_leader_is_shut_down_in_a_release", 6 * time.Second, func(c *cluster, b *backlog) {
			go c.release(8)
			time.Sleep(4800 * time.Millisecond)
			c.loseLeader(b, c.shutDown)
		}},
	} {
		t.Run(v.name, func(t *testing.T) {
			runInCluster(t, func(_ *testing.T, c *cluster) {
				c.setUp(8)
				time.Sleep(settled)
				b := c.submitBacklog(v.shortRunTime)
				v.lose(c, b)
				c.checkBacklog(b)
			})
		})
	}
}

// release replaces workers one after the other: each drains, leaves, and is replaced
// under another ID.
func (c *cluster) release(workers int) {
	const gap, drainTime = time.Second, 4 * time.Second
	for i := range workers {
		id := workerID(i)
		c.drain(id)
		time.AfterFunc(drainTime, func() {
			c.leave(id)
			c.removeEntry(id)
			c.addWorker(workers + i)
		})
		time.Sleep(gap)
	}
}

// An entry whose worker never answers was in the stored roster, so that each later
// term waited for it.
func TestUnreachableEntryHoldsUpNoInheritedJob(t *testing.T) {
	runInCluster(t, func(_ *testing.T, c *cluster) {
		c.setUp(8)
		c.update(func() {
			e := c.workerEntries[workerID(0)]
			e.ID = "w99"
			c.workerEntries[e.ID] = e
		})
		time.Sleep(settled)
		b := c.submitBacklog(5 * time.Second)
		time.Sleep(4 * time.Second)
		c.loseLeader(b, c.kill)
		c.checkBacklog(b)
	})
}

// Without its order's answer, a run is known only to its worker. A later term that
// can't reach the worker must not take the job for one without a start.
func TestRunThatOnlyItsWorkerKnowsIsNotRepeated(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(8)
		time.Sleep(settled)
		var worker string
		ordered := make(chan bool)
		c.update(func() {
			c.workerFaults = func(_, w, call string) crankfakefleet.Fault {
				if call != "start" || worker != "" {
					return crankfakefleet.Fault{}
				}
				worker = w
				c.unreachable[w], c.silent[w] = true, true
				close(ordered)
				return crankfakefleet.Fault{DropResponse: true}
			}
		})
		is.NoErr(c.submit(c.notLeader(), "patient", "job1", independentTasks(1, 4*time.Second)))
		<-ordered
		c.kill(c.leader())
		time.Sleep(8 * time.Second)
		clearWorkerFaults(c)
		c.reconnectWorker(worker)
		c.ensureAllRunning()
		c.awaitPhase("a", "patient", "job1", crank.PhaseCompleted, 30*time.Second)
	})
}

// An urgent job that had waited under two terms without a start was held up by the third one
// until the lease of a worker was over that was lost with the second leader.
func TestInheritedUrgentJobIsNotHeldUpByASecondLoss(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		const lossesApart, room = 4 * time.Second, 7 * time.Second // room comes that long after the first loss
		c.setUp(3)
		time.Sleep(settled)
		log := c.recordStarts()
		lasting := c.submitMany("urgent", "lasting", 2)
		short := wholeWorker()
		short.RunTime = room
		is.NoErr(c.submit(c.notLeader(), "urgent", "short", short))
		time.Sleep(100 * time.Millisecond)
		is.NoErr(c.submit(c.notLeader(), "urgent", "waiting", wholeWorker()))
		lose := func() {
			term, first := c.termNumber(), c.leader()
			c.kill(first)
			c.awaitTermAfter(term)
			c.start(first)
		}
		time.Sleep(100 * time.Millisecond)
		lose()
		time.Sleep(lossesApart)
		for id := range log.started(lasting[0]) {
			c.losePower(log.workerOf(id))
		}
		lose()
		is.Equal(len(log.started("waiting")), 0)
		time.Sleep(queuedStartLimit)
		is.Equal(len(log.started("waiting")), 1)
	})
}
