package crankentryproof

import (
	"testing"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankbook"
	"cranberrycrank/internal/crankgate"
	"cranberrycrank/standin/crankfakefleet"
	"cranberrycrank/standin/crankfakestore"

	"github.com/matryer/is"
)

func TestServesJobsOfSeveralSteps(t *testing.T) {
	play(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.open(8)
		second := single(6, time.Second)
		second.After = []int{0}
		is.NoErr(c.submit("a", "patient", "job1", single(12, 2*time.Second), second))
		is.NoErr(c.submit("b", "urgent", "job2", gang(4, 8, time.Second)))
		c.await("c", "urgent", "job2", crankbook.PhaseCompleted, 3*time.Second)
		c.await("c", "patient", "job1", crankbook.PhaseCompleted, 6*time.Second)
		is.Equal(c.fleet.Runs(), 12+6+4)
		_, err := c.phase("a", "patient", "nobody")
		is.Equal(crank.KindOf(err), crank.KindExpired)
	})
}

func TestSameSubmissionIsOneJob(t *testing.T) {
	play(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.open(4)
		for _, entry := range []string{"a", "b", "c"} {
			is.NoErr(c.submit(entry, "urgent", "job1", gang(2, 4, time.Second)))
		}
		c.await("a", "urgent", "job1", crankbook.PhaseCompleted, 4*time.Second)
		is.NoErr(c.submit("b", "urgent", "job1", gang(2, 4, time.Second)))
		time.Sleep(3 * time.Second)
		is.Equal(c.fleet.Runs(), 2)
	})
}

func TestCancelledJobStopsAndStaysCancelled(t *testing.T) {
	play(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.open(4)
		is.NoErr(c.submit("a", "patient", "job1", single(8, time.Minute)))
		time.Sleep(time.Second)
		is.NoErr(c.cancel("b", "patient", "job1"))
		c.await("c", "patient", "job1", crankbook.PhaseCancelled, time.Second)
		// Its room is free: a job that needs all of it runs at once.
		is.NoErr(c.submit("a", "urgent", "job2", gang(4, 8, time.Second)))
		c.await("c", "urgent", "job2", crankbook.PhaseCompleted, 3*time.Second)
	})
}

func TestHopelessJobFails(t *testing.T) {
	play(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.open(4)
		c.fleet.Change(func(f *crankfakefleet.Config) {
			f.Fails = func(id crank.TaskID, _ int64, _ string) bool { return id.Job == "job1" }
		})
		is.NoErr(c.submit("a", "patient", "job1", single(2, time.Second)))
		c.await("b", "patient", "job1", crankbook.PhaseFailed, 8*time.Second)
	})
}

func TestUrgentGangPreemptsPatientWork(t *testing.T) {
	play(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.open(4)
		is.NoErr(c.submit("a", "patient", "job1", single(32, 20*time.Second)))
		time.Sleep(2 * time.Second)
		is.NoErr(c.submit("b", "urgent", "job2", gang(4, 8, time.Second)))
		c.await("c", "urgent", "job2", crankbook.PhaseCompleted, 2700*time.Millisecond)
		c.await("c", "patient", "job1", crankbook.PhaseCompleted, 40*time.Second)
	})
}

func TestGuaranteedGangSparesUrgentWork(t *testing.T) {
	play(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.open(4)
		is.NoErr(c.submit("a", "patient", "job1", single(16, 20*time.Second)))
		time.Sleep(2 * time.Second)
		c.key = wardKey // without a guarantee, and cheaper to stop
		is.NoErr(c.submit("a", "urgent", "job2", gang(2, 8, 4*time.Second)))
		time.Sleep(500 * time.Millisecond)
		c.key = callerKey
		anywhere := gang(2, 8, time.Second)
		anywhere.SameRack = false
		is.NoErr(c.submit("b", "urgent", "job3", anywhere))
		c.await("c", "urgent", "job3", crankbook.PhaseCompleted, 2700*time.Millisecond)
		c.await("c", "urgent", "job2", crankbook.PhaseCompleted, 3*time.Second) // it was not stopped
	})
}

func TestWorkerThatFailsEverythingIsShunned(t *testing.T) {
	play(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.open(4)
		c.fleet.Change(func(f *crankfakefleet.Config) {
			f.Fails = func(_ crank.TaskID, _ int64, worker string) bool { return worker == "w00" }
		})
		for _, id := range []string{"job1", "job2", "job3", "job4", "job5", "job6"} {
			is.NoErr(c.submit("a", "patient", id, single(2, 500*time.Millisecond)))
			time.Sleep(time.Second)
		}
		for _, id := range []string{"job1", "job2", "job3", "job4", "job5", "job6"} {
			c.await("a", "patient", id, crankbook.PhaseCompleted, 5*time.Second)
		}
	})
}

func TestStandstillIsNoticed(t *testing.T) {
	play(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.open(2)
		c.fleet.Change(func(f *crankfakefleet.Config) { f.Stuck = func(worker string) bool { return worker == "w00" } })
		is.NoErr(c.submit("a", "patient", "job1", single(4, time.Second)))
		c.await("a", "patient", "job1", crankbook.PhaseCompleted, 9*time.Second)
	})
}

func TestGangMemberThatIsReadyIsNoStandstill(t *testing.T) {
	play(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.open(4)
		usual := c.fleet.RunTime
		c.fleet.Change(func(f *crankfakefleet.Config) {
			f.RunTime = func(id crank.TaskID, worker string) time.Duration {
				if worker == "w00" {
					return 8 * usual(id, worker)
				}
				return usual(id, worker)
			}
		})
		is.NoErr(c.submit("a", "urgent", "job1", gang(4, 8, time.Second)))
		c.await("a", "urgent", "job1", crankbook.PhaseCompleted, 10*time.Second)
		is.Equal(c.fleet.Runs(), 4)
	})
}

func TestZoneOutOfServiceGetsNoStart(t *testing.T) {
	play(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.open(6)
		c.store.Put(crank.OperatorTopic, "z0", []byte("{}"))
		time.Sleep(2 * time.Second)
		c.fleet.Change(func(f *crankfakefleet.Config) {
			f.Fails = func(id crank.TaskID, _ int64, worker string) bool {
				if worker == "w00" || worker == "w03" {
					t.Errorf("%s was started at %s", id, worker)
				}
				return false
			}
		})
		is.NoErr(c.submit("a", "patient", "job1", single(40, time.Second)))
		c.await("a", "patient", "job1", crankbook.PhaseCompleted, 8*time.Second)
	})
}

func TestRefusesWhatItCannotJudge(t *testing.T) {
	play(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.open(1)
		c.cutOff("a")
		time.Sleep(crankgate.ConfigFreshness + 2*time.Second)
		is.True(!c.entries["a"].Ready())
		is.Equal(crank.KindOf(c.submit("a", "patient", "job1", single(1, time.Second))), crank.KindUnavailable)
		c.reconnect()
		time.Sleep(3 * time.Second)
		is.True(c.entries["a"].Ready())
	})
}

func TestRefusedSubmissionNeverRuns(t *testing.T) {
	play(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.open(4)
		c.set(func() {
			c.storage = func(_, call string) crankfakestore.Fault { return crankfakestore.Fault{Refuse: call == "append"} }
		})
		is.Equal(crank.KindOf(c.submit("a", "patient", "job1", single(1, time.Second))), crank.KindUnavailable)
		c.set(func() { c.storage = nil })
		time.Sleep(10 * time.Second)
		is.Equal(c.fleet.Runs(), 0)
	})
}

func TestUnansweredAppendIsRepeatedUntilKnown(t *testing.T) {
	play(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.open(4)
		lost := 0
		c.set(func() {
			c.storage = func(caller, call string) crankfakestore.Fault {
				if call == "append" && caller == c.entries["a"].caller && lost < 2 {
					lost++
					return crankfakestore.Fault{Lose: true}
				}
				return crankfakestore.Fault{}
			}
		})
		is.NoErr(c.submit("a", "patient", "job1", single(1, time.Second)))
		c.await("b", "patient", "job1", crankbook.PhaseCompleted, 8*time.Second)
		is.Equal(c.fleet.Runs(), 1)
	})
}

func TestOrderCarriedOutLateRunsNothingTwice(t *testing.T) {
	play(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.open(8)
		n := 0
		c.set(func() {
			c.late = func(_, _, call string) crankfakefleet.Fault {
				n++
				if call != "hold" && n%3 == 0 {
					return crankfakefleet.Fault{Late: time.Duration(2+n%10) * time.Second}
				}
				return crankfakefleet.Fault{}
			}
		})
		is.NoErr(c.submit("a", "patient", "job1", single(30, 2*time.Second)))
		is.NoErr(c.submit("b", "urgent", "job2", gang(4, 4, time.Second)))
		time.Sleep(8 * time.Second)
		c.set(func() { c.late = nil })
		c.await("c", "patient", "job1", crankbook.PhaseCompleted, 20*time.Second)
		c.await("c", "urgent", "job2", crankbook.PhaseCompleted, 20*time.Second)
	})
}

// A start that got no answer may have been carried out, also when the second
// try is refused.
func TestRefusalAfterALostAnswerIsNoProof(t *testing.T) {
	play(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.open(4)
		tries := make(map[string]int)
		c.set(func() {
			c.late = func(_, worker, call string) crankfakefleet.Fault {
				if call != "start" {
					return crankfakefleet.Fault{}
				}
				tries[worker]++
				return crankfakefleet.Fault{Lose: tries[worker]%2 == 1, Refuse: tries[worker]%2 == 0}
			}
		})
		is.NoErr(c.submit("a", "patient", "job1", single(1, 4*time.Second)))
		c.await("c", "patient", "job1", crankbook.PhaseCompleted, 20*time.Second)
	})
}

// A task that failed at every worker runs at one of them again.
func TestTaskThatFailedEverywhereIsTriedAgain(t *testing.T) {
	play(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.open(2)
		c.fleet.Change(func(f *crankfakefleet.Config) {
			f.Fails = func(_ crank.TaskID, run int64, _ string) bool { return run <= 2 }
		})
		is.NoErr(c.submit("a", "patient", "job1", single(1, time.Second)))
		c.await("b", "patient", "job1", crankbook.PhaseCompleted, 8*time.Second)
	})
}

// After a loss of all instances the next holder knows that the one before gives
// no orders any more, so a worker that has left holds work up for one lease at
// most.
func TestLostWorkerHoldsWorkUpForOneLease(t *testing.T) {
	play(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.open(4)
		time.Sleep(15 * time.Second)
		is.NoErr(c.submit("a", "patient", "job1", single(32, 2*time.Second)))
		time.Sleep(time.Second)
		c.fleet.Crash("w00")
		c.set(func() { delete(c.listed, "w00") })
		c.store.Put(crank.WorkerTopic, "w00", nil)
		for _, name := range []string{"a", "b", "c"} {
			c.kill(name)
		}
		c.startAll("a", "b", "c")
		c.await("a", "patient", "job1", crankbook.PhaseCompleted, 8*time.Second)
	})
}

// A holder's release that is carried out late must not bring its term back:
// the next claim would use a number twice.
func TestLateReleaseDoesNotBringATermBack(t *testing.T) {
	play(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.open(2)
		first, number := c.leader(), c.termNumber()
		c.set(func() {
			caller := c.entries[first].caller
			c.storage = func(from, call string) crankfakestore.Fault {
				if from == caller && call == "append" {
					return crankfakestore.Fault{Late: 5 * time.Second}
				}
				return crankfakestore.Fault{}
			}
		})
		c.term(first)
		time.Sleep(8 * time.Second) // another one has taken over, and the release has arrived
		is.True(c.leader() != first)
		for _, name := range instances {
			if name != first {
				c.kill(name)
			}
		}
		c.set(func() { c.storage = nil })
		c.startAll(instances...)
		is.True(c.termNumber() > number+1)
	})
}

// Room that is kept free for a gang does not keep a lasting task away for long.
func TestLastingTaskDoesNotWaitForAGang(t *testing.T) {
	play(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.open(2)
		is.NoErr(c.submit("a", "urgent", "job1", gang(2, 7, time.Minute)))
		time.Sleep(time.Second)
		for _, id := range []string{"job2", "job4"} { // beyond the guarantee, they wait for job1
			is.NoErr(c.submit("a", "urgent", id, gang(2, 8, time.Minute)))
		}
		time.Sleep(3 * time.Second)
		lasting := single(1, time.Hour)
		lasting.Lasting = true
		is.NoErr(c.submit("b", "patient", "job3", lasting))
		c.await("b", "patient", "job3", crankbook.PhaseRunning, 5*time.Second)
	})
}

func TestReadsThatMissAnAppendDelayLittle(t *testing.T) {
	play(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.open(4)
		c.set(func() {
			c.storage = func(_, _ string) crankfakestore.Fault {
				return crankfakestore.Fault{Miss: 15 * time.Millisecond, Delay: 4 * time.Millisecond}
			}
		})
		for _, entry := range []string{"a", "b", "c"} {
			id := "job" + entry
			is.NoErr(c.submit(entry, "urgent", id, gang(2, 4, time.Second)))
			begun := time.Now()
			for c.fleet.Done(id) < 2 {
				time.Sleep(time.Millisecond)
			}
			is.True(time.Since(begun) < 1200*time.Millisecond)
			phase, err := c.phase(entry, "urgent", id)
			is.NoErr(err)
			is.Equal(phase, crankbook.PhaseCompleted)
		}
	})
}

func TestStateAskedForAtTheEndTellsTheEnd(t *testing.T) {
	play(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.open(4)
		for i, entry := range []string{"a", "b", "c"} {
			id := "job" + entry
			time.Sleep(time.Duration(i) * 70 * time.Millisecond)
			is.NoErr(c.submit(entry, "urgent", id, gang(2, 4, time.Second)))
			for c.fleet.Done(id) < 2 {
				time.Sleep(time.Millisecond)
			}
			phase, err := c.phase(entry, "urgent", id)
			is.NoErr(err)
			is.Equal(phase, crankbook.PhaseCompleted)
		}
	})
}
