package crankentryproof

import (
	"testing"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakefleet"
	"cranberrycrank/standin/crankfakestore"

	"github.com/matryer/is"
)

func TestServesJobsOfSeveralSteps(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(8)
		second := independentTasks(6, time.Second)
		second.After = []int{0}
		is.NoErr(c.submit("a", "patient", "job1", independentTasks(12, 2*time.Second), second))
		is.NoErr(c.submit("b", "urgent", "job2", gangStep(4, 8, time.Second)))
		c.awaitPhase("c", "urgent", "job2", crank.PhaseCompleted, 3*time.Second)
		c.awaitPhase("c", "patient", "job1", crank.PhaseCompleted, 6*time.Second)
		is.Equal(c.fleet.Runs(), 12+6+4)
		_, err := c.phase("a", "patient", "nobody")
		is.Equal(crank.KindOf(err), crank.KindExpired)
	})
}

func TestRepeatedSubmissionRunsOnce(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(4)
		for _, name := range []string{"a", "b", "c"} {
			is.NoErr(c.submit(name, "urgent", "job1", gangStep(2, 4, time.Second)))
		}
		c.awaitPhase("a", "urgent", "job1", crank.PhaseCompleted, 4*time.Second)
		is.NoErr(c.submit("b", "urgent", "job1", gangStep(2, 4, time.Second)))
		time.Sleep(3 * time.Second)
		is.Equal(c.fleet.Runs(), 2)
	})
}

func TestCancelledJobStopsAndStaysCancelled(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(4)
		is.NoErr(c.submit("a", "patient", "job1", independentTasks(8, time.Minute)))
		time.Sleep(time.Second)
		is.NoErr(c.cancel("b", "patient", "job1"))
		c.awaitPhase("c", "patient", "job1", crank.PhaseCancelled, time.Second)
		// Its capacity is free again: a job that needs all workers starts at once.
		is.NoErr(c.submit("a", "urgent", "job2", gangStep(4, 8, time.Second)))
		c.awaitPhase("c", "urgent", "job2", crank.PhaseCompleted, 3*time.Second)
	})
}

func TestJobFailsAfterItsAttempts(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(4)
		c.fleet.UpdateConfig(func(f *crankfakefleet.Config) {
			f.Fails = func(id crank.TaskID, _ int64, _ string) bool { return id.Job == "job1" }
		})
		is.NoErr(c.submit("a", "patient", "job1", independentTasks(2, time.Second)))
		c.awaitPhase("b", "patient", "job1", crank.PhaseFailed, 8*time.Second)
	})
}

func TestUrgentGangPreemptsPatientWork(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(4)
		is.NoErr(c.submit("a", "patient", "job1", independentTasks(32, 20*time.Second)))
		time.Sleep(2 * time.Second)
		is.NoErr(c.submit("b", "urgent", "job2", gangStep(4, 8, time.Second)))
		c.awaitPhase("c", "urgent", "job2", crank.PhaseCompleted, 2700*time.Millisecond)
		c.awaitPhase("c", "patient", "job1", crank.PhaseCompleted, 40*time.Second)
	})
}

func TestGuaranteedGangPreemptsPatientBeforeUrgentWork(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(4)
		is.NoErr(c.submit("a", "patient", "job1", independentTasks(16, 20*time.Second)))
		time.Sleep(2 * time.Second)
		c.key = unguaranteedKey // not guaranteed, and cheaper to preempt than job1
		is.NoErr(c.submit("a", "urgent", "job2", gangStep(2, 8, 4*time.Second)))
		time.Sleep(500 * time.Millisecond)
		c.key = guaranteedKey
		anyRack := gangStep(2, 8, time.Second)
		anyRack.SameRack = false
		is.NoErr(c.submit("b", "urgent", "job3", anyRack))
		c.awaitPhase("c", "urgent", "job3", crank.PhaseCompleted, 2700*time.Millisecond)
		c.awaitPhase("c", "urgent", "job2", crank.PhaseCompleted, 3*time.Second) // it was not preempted
	})
}

func TestFailingLeasedWorkerIsQuarantined(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(4)
		c.fleet.UpdateConfig(func(f *crankfakefleet.Config) {
			f.Fails = func(_ crank.TaskID, _ int64, worker string) bool { return worker == "w00" }
		})
		for _, id := range []string{"job1", "job2", "job3", "job4", "job5", "job6"} {
			is.NoErr(c.submit("a", "patient", id, independentTasks(2, 500*time.Millisecond)))
			time.Sleep(time.Second)
		}
		for _, id := range []string{"job1", "job2", "job3", "job4", "job5", "job6"} {
			c.awaitPhase("a", "patient", id, crank.PhaseCompleted, 5*time.Second)
		}
	})
}

func TestStalledRunIsReplaced(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(2)
		c.fleet.UpdateConfig(func(f *crankfakefleet.Config) { f.Stuck = func(worker string) bool { return worker == "w00" } })
		is.NoErr(c.submit("a", "patient", "job1", independentTasks(4, time.Second)))
		c.awaitPhase("a", "patient", "job1", crank.PhaseCompleted, 9*time.Second)
	})
}

func TestGangTaskWaitingForOthersIsNotStalled(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(4)
		defaultRunTime := c.fleet.RunTime
		c.fleet.UpdateConfig(func(f *crankfakefleet.Config) {
			f.RunTime = func(id crank.TaskID, worker string) time.Duration {
				if worker == "w00" {
					return 8 * defaultRunTime(id, worker)
				}
				return defaultRunTime(id, worker)
			}
		})
		is.NoErr(c.submit("a", "urgent", "job1", gangStep(4, 8, time.Second)))
		c.awaitPhase("a", "urgent", "job1", crank.PhaseCompleted, 10*time.Second)
		is.Equal(c.fleet.Runs(), 4)
	})
}

func TestEvacuatedZoneGetsNoStart(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(6)
		c.store.Put(crank.OperatorTopic, "z0", []byte("{}"))
		time.Sleep(2 * time.Second)
		c.fleet.UpdateConfig(func(f *crankfakefleet.Config) {
			f.Fails = func(id crank.TaskID, _ int64, worker string) bool {
				if worker == "w00" || worker == "w03" {
					t.Errorf("task %s was started on worker %s in the evacuated zone", id, worker)
				}
				return false
			}
		})
		is.NoErr(c.submit("a", "patient", "job1", independentTasks(40, time.Second)))
		c.awaitPhase("a", "patient", "job1", crank.PhaseCompleted, 8*time.Second)
	})
}

func TestRefusesJobsWhenConfigurationIsStale(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(1)
		c.isolate("a")
		time.Sleep(c.running["a"].Requests.MaxConfigAge() + 2*time.Second)
		is.True(!c.running["a"].Ready())
		is.Equal(crank.KindOf(c.submit("a", "patient", "job1", independentTasks(1, time.Second))), crank.KindUnavailable)
		c.reconnect()
		time.Sleep(3 * time.Second)
		is.True(c.running["a"].Ready())
	})
}

func TestRefusedSubmissionNeverRuns(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(4)
		c.update(func() {
			c.storeFaults = func(_, call string) crankfakestore.Fault { return crankfakestore.Fault{Refuse: call == "append"} }
		})
		is.Equal(crank.KindOf(c.submit("a", "patient", "job1", independentTasks(1, time.Second))), crank.KindUnavailable)
		c.update(func() { c.storeFaults = nil })
		time.Sleep(10 * time.Second)
		is.Equal(c.fleet.Runs(), 0)
	})
}

func TestUnansweredAppendIsRetriedWithoutDuplicate(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(4)
		lost := 0
		c.update(func() {
			c.storeFaults = func(caller, call string) crankfakestore.Fault {
				if call == "append" && caller == c.running["a"].caller && lost < 2 {
					lost++
					return crankfakestore.Fault{DropResponse: true}
				}
				return crankfakestore.Fault{}
			}
		})
		is.NoErr(c.submit("a", "patient", "job1", independentTasks(1, time.Second)))
		c.awaitPhase("b", "patient", "job1", crank.PhaseCompleted, 8*time.Second)
		is.Equal(c.fleet.Runs(), 1)
	})
}

func TestDelayedOrderRunsNothingTwice(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(8)
		n := 0
		c.update(func() {
			c.workerFaults = func(_, _, call string) crankfakefleet.Fault {
				n++
				if call != "hold" && n%3 == 0 {
					return crankfakefleet.Fault{EffectDelay: time.Duration(2+n%10) * time.Second}
				}
				return crankfakefleet.Fault{}
			}
		})
		is.NoErr(c.submit("a", "patient", "job1", independentTasks(30, 2*time.Second)))
		is.NoErr(c.submit("b", "urgent", "job2", gangStep(4, 4, time.Second)))
		time.Sleep(8 * time.Second)
		c.update(func() { c.workerFaults = nil })
		c.awaitPhase("c", "patient", "job1", crank.PhaseCompleted, 20*time.Second)
		c.awaitPhase("c", "urgent", "job2", crank.PhaseCompleted, 20*time.Second)
	})
}

// A start order whose response was lost may have been carried out, whatever the retry of
// that order shows.
func TestLostStartMayHaveRunWhenRetryIsRefused(t *testing.T) {
	for name, retry := range map[string]crankfakefleet.Fault{
		"unavailable": {Refuse: true},
		"no_listener": {NoListener: true},
		"misdirected": {Misdirect: true},
	} {
		t.Run(name, func(t *testing.T) {
			runInCluster(t, func(t *testing.T, c *cluster) {
				is := is.New(t)
				c.setUp(4)
				attempts := make(map[string]int)
				c.update(func() {
					c.workerFaults = func(_, worker, call string) crankfakefleet.Fault {
						if call != "start" {
							return crankfakefleet.Fault{}
						}
						attempts[worker]++
						if attempts[worker]%2 == 1 {
							return crankfakefleet.Fault{DropResponse: true}
						}
						return retry
					}
				})
				is.NoErr(c.submit("a", "patient", "job1", independentTasks(1, 4*time.Second)))
				c.awaitPhase("c", "patient", "job1", crank.PhaseCompleted, 20*time.Second)
			})
		})
	}
}

// A task that has failed on every worker is placed on one of them again.
func TestTaskThatFailedOnEveryWorkerIsRetried(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(2)
		c.fleet.UpdateConfig(func(f *crankfakefleet.Config) {
			f.Fails = func(_ crank.TaskID, run int64, _ string) bool { return run <= 2 }
		})
		is.NoErr(c.submit("a", "patient", "job1", independentTasks(1, time.Second)))
		c.awaitPhase("b", "patient", "job1", crank.PhaseCompleted, 8*time.Second)
	})
}

// After a crash of all instances the next leader knows that the previous one sends
// no more orders, so a worker that is gone delays its work by at most one lease.
func TestLostWorkerDelaysWorkForOneLease(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(4)
		time.Sleep(15 * time.Second)
		is.NoErr(c.submit("a", "patient", "job1", independentTasks(32, 2*time.Second)))
		time.Sleep(time.Second)
		c.fleet.Crash("w00")
		c.update(func() { delete(c.workerEntries, "w00") })
		c.store.Put(crank.WorkerTopic, "w00", nil)
		for _, name := range []string{"a", "b", "c"} {
			c.kill(name)
		}
		c.startAll("a", "b", "c")
		c.awaitPhase("a", "patient", "job1", crank.PhaseCompleted, 8*time.Second)
	})
}

// A leader's release of its term that the store appends late must not restore
// that term: the next claim would reuse a term number.
func TestLateReleaseDoesNotRestoreATerm(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(2)
		first, number := c.leader(), c.termNumber()
		c.update(func() {
			caller := c.running[first].caller
			c.storeFaults = func(from, call string) crankfakestore.Fault {
				if from == caller && call == "append" {
					return crankfakestore.Fault{EffectDelay: 5 * time.Second}
				}
				return crankfakestore.Fault{}
			}
		})
		c.shutDown(first)
		time.Sleep(8 * time.Second) // another leader has taken over, and the release has been appended
		is.True(c.leader() != first)
		for _, name := range instanceNames {
			if name != first {
				c.kill(name)
			}
		}
		c.update(func() { c.storeFaults = nil })
		c.startAll(instanceNames...)
		is.True(c.termNumber() > number+1)
	})
}

// Capacity reserved for a waiting gang delays a long-running task only briefly.
func TestLongRunningTaskDoesNotWaitForAGang(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(2)
		is.NoErr(c.submit("a", "urgent", "job1", gangStep(2, 7, time.Minute)))
		time.Sleep(time.Second)
		for _, id := range []string{"job2", "job4"} { // they exceed the guarantee and wait for job1
			is.NoErr(c.submit("a", "urgent", id, gangStep(2, 8, time.Minute)))
		}
		time.Sleep(3 * time.Second)
		longRunning := independentTasks(1, time.Hour)
		longRunning.LongRunning = true
		is.NoErr(c.submit("b", "patient", "job3", longRunning))
		c.awaitPhase("b", "patient", "job3", crank.PhaseRunning, 5*time.Second)
	})
}

// Reads that miss an append in their first 15 ms add little to the time a gang takes.
func TestStaleReadsDelayLittle(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(4)
		c.update(func() {
			c.storeFaults = func(_, _ string) crankfakestore.Fault {
				return crankfakestore.Fault{MissWakeups: 15 * time.Millisecond, Delay: 4 * time.Millisecond}
			}
		})
		for _, name := range []string{"a", "b", "c"} {
			id := "job" + name
			is.NoErr(c.submit(name, "urgent", id, gangStep(2, 4, time.Second)))
			start := time.Now()
			for c.fleet.DoneTasks(id) < 2 {
				time.Sleep(time.Millisecond)
			}
			is.True(time.Since(start) < 1200*time.Millisecond)
			phase, err := c.phase(name, "urgent", id)
			is.NoErr(err)
			is.Equal(phase, crank.PhaseCompleted)
		}
	})
}

func TestStateIsCompletedOnceAllTasksAreDone(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(4)
		for i, name := range []string{"a", "b", "c"} {
			id := "job" + name
			time.Sleep(time.Duration(i) * 70 * time.Millisecond)
			is.NoErr(c.submit(name, "urgent", id, gangStep(2, 4, time.Second)))
			for c.fleet.DoneTasks(id) < 2 {
				time.Sleep(time.Millisecond)
			}
			phase, err := c.phase(name, "urgent", id)
			is.NoErr(err)
			is.Equal(phase, crank.PhaseCompleted)
		}
	})
}
