package crankentryproof

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankgate"
	"cranberrycrank/internal/crankjobs"
	"cranberrycrank/standin/crankfakefleet"

	"github.com/matryer/is"
)

// submitSentAfter hands a job in with a request that is known to have been sent after a time.
func (c *cluster) submitSentAfter(name, queue, id string, sentAfter time.Time, steps ...crank.Step) error {
	job := crank.StepJob{ID: id, Payload: "plan " + id, Attempts: 3, Steps: steps}
	c.update(func() { c.jobs[id] = job })
	inst := c.running[name]
	r, err := inst.Requests.Route(c.t.Context(), crankgate.Request{Host: host, Path: "/" + queue + "/" + id, Key: c.key, Deadline: 3 * time.Second, Hold: true, SentAfter: sentAfter})
	if err != nil {
		return err
	}
	return inst.Requests.Submit(c.t.Context(), r, job)
}

// A cancellation must not keep a job from running that is handed in after its answer, and no
// later loss of instances may bring the cancellation back.
func TestJobHandedInAnewAfterItsCancellationRuns(t *testing.T) {
	eachRole(t, func(t *testing.T, c *cluster, taker, canceller string) {
		is := is.New(t)
		is.Equal(crank.KindOf(c.cancel(canceller, "patient", "job1")), crank.KindExpired)
		is.NoErr(c.submitSentAfter(taker, "patient", "job1", time.Now(), independentTasks(2, 2*time.Second)))
		is.NoErr(c.submit(canceller, "patient", "job1", independentTasks(2, 2*time.Second))) // the one that was cancelled, read late
		c.awaitPhase(canceller, "patient", "job1", crank.PhaseRunning, 2*time.Second)
		for _, name := range instanceNames {
			c.kill(name)
		}
		c.startAll(instanceNames...)
		for _, name := range instanceNames {
			c.awaitPhase(name, "patient", "job1", crank.PhaseCompleted, 20*time.Second)
		}
		for _, r := range c.store.Newest(crank.JobTopic) {
			is.True(!strings.HasPrefix(r.Key, "withdrawn/"))
		}
	})
}

// A job that was handed in anew is cancelled like any other.
func TestJobHandedInAnewCanBeCancelledAgain(t *testing.T) {
	eachRole(t, func(t *testing.T, c *cluster, taker, canceller string) {
		is := is.New(t)
		is.Equal(crank.KindOf(c.cancel(canceller, "patient", "job1")), crank.KindExpired)
		is.NoErr(c.submitSentAfter(taker, "patient", "job1", time.Now(), independentTasks(2, 5*time.Second)))
		is.NoErr(c.cancel(canceller, "patient", "job1"))
		for _, name := range instanceNames {
			c.awaitPhase(name, "patient", "job1", crank.PhaseCancelled, 3*time.Second)
		}
		time.Sleep(8 * time.Second)
		is.Equal(c.fleet.DoneTasks("job1"), 0)
	})
}

// Whoever cancels jobs that never were must not fill the store and the memory of all instances.
func TestCancellationsOfUnknownJobsAreBounded(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(4)
		withdrawals := func() int {
			n := 0
			for _, r := range c.store.Newest(crank.JobTopic) {
				if strings.HasPrefix(r.Key, "withdrawn/") {
					n++
				}
			}
			return n
		}
		var calls sync.WaitGroup
		var mu sync.Mutex
		refused := 0
		for n := range 3 * crankjobs.MaxWithdrawals {
			calls.Go(func() {
				if err := c.cancel(instanceNames[n%3], "patient", fmt.Sprintf("none%d", n)); crank.KindOf(err) != crank.KindExpired {
					mu.Lock()
					defer mu.Unlock()
					refused++
				}
			})
			time.Sleep(5 * time.Millisecond)
		}
		calls.Wait()
		is.True(refused > 0)
		is.True(withdrawals() <= crankjobs.MaxWithdrawals+3*64)
		is.NoErr(c.submit("a", "patient", "job1", independentTasks(1, time.Second))) // others are served all the while
		is.NoErr(c.cancel("b", "patient", "job1"))
		time.Sleep(4 * time.Minute) // past their retention
		is.Equal(withdrawals(), 0)
		is.Equal(crank.KindOf(c.cancel("c", "patient", "none1")), crank.KindExpired)
	})
}

// attempt is a call of the drawn play and what came of it.
type attempt struct {
	sent, answered time.Time
	err            error
}

// idPlay is a play of calls about one job ID.
type idPlay struct {
	mu                   sync.Mutex
	submissions, cancels []attempt
	starts               []time.Time // of tasks
}

// Calls about one ID come in any order, are read late and meet faults. No task may start long
// after the answer to a cancellation unless the job was handed in after that was sent, and
// what was accepted after all cancellations runs.
func TestDrawnCancellationsOfJobsOnTheirWay(t *testing.T) {
	for seed := range uint64(drawnPlays) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runInCluster(t, func(t *testing.T, c *cluster) { c.playID(rand.New(rand.NewPCG(seed, 11))) })
		})
	}
}

const drawnPlays = 60

func (c *cluster) playID(r *rand.Rand) {
	c.setUp(4)
	p := new(idPlay)
	c.fleet.UpdateConfig(func(f *crankfakefleet.Config) {
		runTime := f.RunTime
		f.RunTime = func(id crank.TaskID, worker string) time.Duration {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.starts = append(p.starts, time.Now())
			return runTime(id, worker)
		}
	})
	var calls sync.WaitGroup
	begun := time.Now()
	fault := faultKinds[r.IntN(len(faultKinds))]
	faultAt, faultTime := time.Duration(r.IntN(4000))*time.Millisecond, time.Duration(200+r.IntN(3000))*time.Millisecond
	if r.IntN(4) > 0 {
		faultRand := rand.New(rand.NewPCG(r.Uint64(), 1))
		calls.Go(func() {
			time.Sleep(faultAt)
			fault.begin(c, faultRand)
			time.Sleep(faultTime)
			fault.end(c)
		})
	}
	for range 2 + r.IntN(4) {
		at, late := time.Duration(r.IntN(6000))*time.Millisecond, time.Duration(0)
		if r.IntN(2) == 0 {
			late = time.Duration(4000+r.IntN(8000)) * time.Millisecond
		}
		name, cancels, dated := instanceNames[r.IntN(3)], r.IntN(2) == 0, r.IntN(3) > 0
		calls.Go(func() {
			time.Sleep(at)
			a := attempt{sent: time.Now()}
			time.Sleep(late)
			if cancels {
				a.err = c.tryCancel(name)
				a.answered = time.Now()
				p.note(&p.cancels, a)
				return
			}
			sentAfter := time.Time{}
			if dated {
				sentAfter = a.sent
			}
			a.err = c.trySubmit(name, sentAfter)
			a.answered = time.Now()
			p.note(&p.submissions, a)
		})
	}
	calls.Wait()
	c.ensureAllRunning()
	time.Sleep(30 * time.Second)
	if fault := p.fault(c.fleet.DoneTasks("job1")); fault != "" {
		c.t.Errorf("%s\nbegun %s\nsubmissions %v\ncancellations %v\nstarts %v", fault, begun, p.submissions, p.cancels, p.starts)
	}
}

func (p *idPlay) note(list *[]attempt, a attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	*list = append(*list, a)
}

// tryCancel and trySubmit call an instance, which may be down.
func (c *cluster) tryCancel(name string) error {
	return c.callIfUp(name, func() error { return c.cancel(name, "patient", "job1") })
}

func (c *cluster) trySubmit(name string, sentAfter time.Time) error {
	return c.callIfUp(name, func() error {
		return c.submitSentAfter(name, "patient", "job1", sentAfter, independentTasks(2, 2*time.Second))
	})
}

func (c *cluster) callIfUp(name string, call func() error) error {
	var before, after *instance
	c.update(func() { before = c.running[name] })
	if before == nil {
		return crank.Fail("call", crank.KindUnavailable, "the instance is down")
	}
	err := call()
	c.update(func() { after = c.running[name] })
	if after != before {
		return crank.Wrap("call", crank.KindUnknown, context.Canceled) // the answer is lost
	}
	return err
}

// fault returns what is wrong with the answers and starts, or "".
func (p *idPlay) fault(done int) string {
	acknowledged := func(a attempt) bool { return a.err == nil || crank.KindOf(a.err) == crank.KindExpired }
	clean := true // whether no job was accepted or stored before the last cancellation
	last := time.Time{}
	for _, a := range p.cancels {
		clean = clean && crank.KindOf(a.err) == crank.KindExpired
		last = maxTime(last, a.answered)
		if !acknowledged(a) {
			continue
		}
		anew := slices.ContainsFunc(p.submissions, func(s attempt) bool { return s.sent.After(a.sent) })
		for _, at := range p.starts {
			if !anew && at.Sub(a.answered) > cancelLimit {
				return fmt.Sprintf("a task started %s after the answer to a cancellation", at.Sub(a.answered))
			}
		}
	}
	for _, s := range p.submissions {
		if clean && s.err == nil && s.sent.After(last) && done < 2 {
			return "a job that was accepted after its cancellations has not run"
		}
	}
	return ""
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
