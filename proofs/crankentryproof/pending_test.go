package crankentryproof

import (
	"fmt"
	"testing"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankgate"
	"cranberrycrank/standin/crankfakefleet"

	"github.com/matryer/is"
)

// Bounds from the users' pages.
const (
	pendingAge  = 2 * time.Second            // of the number of pending jobs
	pendingFrom = 3*time.Second + pendingAge // after its acceptance a job that has not begun is told as pending
	pendingTime = 8 * time.Second            // for which the tests ask
)

// pending asks an instance for the number of pending jobs of a queue.
func (c *cluster) pending(name, queue string) (int, error) {
	r, err := c.running[name].Requests.Route(c.t.Context(), crankgate.Request{Host: host, Path: "/" + queue + "/", Key: c.key})
	if err != nil {
		return 0, err
	}
	return c.running[name].Requests.Pending(r)
}

// checkWaiting asks all instances again and again for the number of pending jobs and the
// states of jobs that have not begun.
func (c *cluster) checkWaiting(queue string, jobs []string) {
	c.t.Helper()
	for until := time.Now().Add(pendingTime); time.Now().Before(until); time.Sleep(500 * time.Millisecond) {
		for name := range c.running {
			if n, err := c.pending(name, queue); err == nil && n != len(jobs) {
				c.t.Errorf("%s tells %d pending jobs, %d have not begun", name, n, len(jobs))
			}
			for _, id := range jobs {
				if p, err := c.phase(name, queue, id); err == nil && p != crank.PhaseQueued {
					c.t.Errorf("%s tells that %s is %s, it has not begun", name, id, p)
				}
			}
			if c.t.Failed() {
				return
			}
		}
	}
}

// checkBegun asks all instances once for the states of jobs that have begun, and for the
// number of pending jobs beside them. At least two must answer.
func (c *cluster) checkBegun(queue string, jobs []string, pending int) {
	c.t.Helper()
	answers := 0
	for name := range c.running {
		n, err := c.pending(name, queue)
		if err != nil {
			continue
		}
		answers++
		if n != pending {
			c.t.Errorf("%s tells %d pending jobs, want %d", name, n, pending)
		}
		for _, id := range jobs {
			if p, err := c.phase(name, queue, id); err != nil || p != crank.PhaseRunning {
				c.t.Errorf("%s tells that %s is %s (%v), it has begun", name, id, p, err)
			}
		}
	}
	if answers < 2 {
		c.t.Errorf("%d instances tell the number of pending jobs", answers)
	}
}

// wholeWorker is a step that fills a worker for a minute.
func wholeWorker() crank.Step {
	st := independentTasks(1, time.Minute)
	st.Demand.Accelerators = 8
	return st
}

// submitMany submits jobs of one whole worker each through an instance that does not lead.
func (c *cluster) submitMany(queue, prefix string, n int) (ids []string) {
	c.t.Helper()
	for i := range n {
		ids = append(ids, fmt.Sprintf("%s%d", prefix, i))
		if err := c.submit(c.notLeader(), queue, ids[i], wholeWorker()); err != nil {
			c.t.Fatal(err)
		}
	}
	return ids
}

// Urgent jobs that waited for room when the leader was lost were told as begun under every
// later term.
func TestInheritedJobsThatWaitAreToldAsPending(t *testing.T) {
	loseOnce := func(lose func(c *cluster, name string)) func(*cluster) {
		return func(c *cluster) {
			term := c.termNumber()
			lose(c, c.leader())
			c.awaitTermAfter(term)
		}
	}
	kill, shutDown, isolate := (*cluster).kill, (*cluster).shutDown, (*cluster).isolate
	for _, v := range []struct {
		name  string
		after time.Duration // of the acceptance
		lose  func(*cluster)
	}{
		{"kill", 100 * time.Millisecond, loseOnce(kill)},
		{"later_kill", 900 * time.Millisecond, loseOnce(kill)},
		{"kill_while_a_second_passes", 1050 * time.Millisecond, loseOnce(kill)},
		{"planned_hand_over", 100 * time.Millisecond, loseOnce(shutDown)},
		{"cut_off", 100 * time.Millisecond, loseOnce(isolate)},
		{"cut_off_and_back", 100 * time.Millisecond, func(c *cluster) {
			loseOnce(isolate)(c)
			c.reconnect()
		}},
		{"second_loss", 100 * time.Millisecond, func(c *cluster) {
			first := c.leader()
			loseOnce(kill)(c)
			c.start(first)
			time.Sleep(200 * time.Millisecond)
			loseOnce(kill)(c)
		}},
	} {
		t.Run(v.name, func(t *testing.T) {
			runInCluster(t, func(t *testing.T, c *cluster) {
				c.setUp(2)
				time.Sleep(settled)
				running := c.submitMany("urgent", "running", 2)
				time.Sleep(pendingAge)
				c.checkBegun("urgent", running, 0)
				waiting := c.submitMany("urgent", "waiting", 6)
				accepted := time.Now()
				time.Sleep(v.after)
				v.lose(c)
				time.Sleep(time.Until(accepted.Add(pendingFrom)))
				c.checkWaiting("urgent", waiting)
				c.checkBegun("urgent", running, len(waiting))
			})
		})
	}
}

// A job was told as begun from when its start was planned, though no order had arrived.
func TestJobsWhoseStartsDoNotArriveAreToldAsPending(t *testing.T) {
	for _, queue := range []string{"urgent", "patient"} {
		for _, lost := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/leader_lost_%t", queue, lost), func(t *testing.T) {
				runInCluster(t, func(t *testing.T, c *cluster) {
					c.setUp(2)
					time.Sleep(settled)
					c.update(func() {
						c.workerFaults = func(_, _, call string) crankfakefleet.Fault {
							return crankfakefleet.Fault{DropRequest: call == "start"}
						}
					})
					waiting := c.submitMany(queue, "waiting", 2)
					accepted := time.Now()
					if lost {
						time.Sleep(100 * time.Millisecond)
						c.kill(c.leader())
					}
					time.Sleep(time.Until(accepted.Add(pendingFrom)))
					c.checkWaiting(queue, waiting)
					clearWorkerFaults(c)
					time.Sleep(10 * time.Second)
					c.checkBegun(queue, waiting, 0)
				})
			})
		}
	}
}

// A job that has begun is told so under later terms too: when the leader is lost before it has
// recorded the start, and while the job waits since its worker is gone.
func TestInheritedJobsThatHaveBegunAreToldAsBegun(t *testing.T) {
	for _, queue := range []string{"urgent", "patient"} {
		t.Run(queue+"/runs", func(t *testing.T) {
			runInCluster(t, func(t *testing.T, c *cluster) {
				is := is.New(t)
				c.setUp(2)
				time.Sleep(settled)
				begun := c.submitMany(queue, "begun", 2)
				for limit := time.Now().Add(time.Second); c.fleet.Runs() < 2; time.Sleep(time.Millisecond) {
					is.True(time.Now().Before(limit))
				}
				time.Sleep(20 * time.Millisecond)
				term := c.termNumber()
				c.kill(c.leader())
				c.awaitTermAfter(term)
				time.Sleep(pendingAge)
				c.checkBegun(queue, begun, 0)
			})
		})
		t.Run(queue+"/waits", func(t *testing.T) {
			runInCluster(t, func(t *testing.T, c *cluster) {
				c.setUp(2)
				time.Sleep(settled)
				begun := c.submitMany(queue, "begun", 2)
				time.Sleep(pendingAge)
				c.losePower(workerID(0))
				time.AfterFunc(entryLifetime, func() { c.removeEntry(workerID(0)) })
				time.Sleep(10 * time.Second)
				term := c.termNumber()
				c.kill(c.leader())
				c.awaitTermAfter(term)
				for range 5 {
					time.Sleep(pendingAge)
					c.checkBegun(queue, begun, 0)
				}
			})
		})
	}
}

// An earlier version recorded that a job had begun before it ordered a start. Under this
// version such jobs were told as begun for as long as they waited.
func TestJobsThatAnEarlierVersionRecordedAsBegunAreToldAsPending(t *testing.T) {
	for _, record := range []string{`{"term":1,"claimed":true,"begun":true}`, `{"term":1,"claimed":true,"begun":true,"tracked":true,"ordered":"AQ=="}`} {
		t.Run(record, func(t *testing.T) {
			runInCluster(t, func(t *testing.T, c *cluster) {
				c.setUp(2)
				time.Sleep(settled)
				running := c.submitMany("urgent", "running", 2)
				time.Sleep(pendingAge)
				waiting := c.submitMany("urgent", "waiting", 6)
				accepted := time.Now()
				term := c.termNumber()
				for _, id := range waiting {
					time.AfterFunc(100*time.Millisecond, func() { c.store.Put(crank.JobTopic, "progress/"+id, []byte(record)) })
				}
				for _, id := range running {
					time.AfterFunc(100*time.Millisecond, func() {
						c.store.Put(crank.JobTopic, "progress/"+id, []byte(`{"term":1,"claimed":true,"begun":true}`))
					})
				}
				c.kill(c.leader())
				c.awaitTermAfter(term)
				time.Sleep(time.Until(accepted.Add(pendingFrom)))
				c.checkWaiting("urgent", waiting)
				c.checkBegun("urgent", running, len(waiting))
			})
		})
	}
}
