package crankentryproof

import (
	"strings"
	"testing"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakestore"

	"github.com/matryer/is"
)

// eachRole runs a test with each combination of the instance that takes the submission and
// the one that cancels it, by whether they hold the term.
func eachRole(t *testing.T, f func(t *testing.T, c *cluster, taker, canceller string)) {
	for _, name := range []string{"leader takes", "leader cancels", "neither leads"} {
		t.Run(name, func(t *testing.T) {
			runInCluster(t, func(t *testing.T, c *cluster) {
				c.setUp(4)
				others := make([]string, 0, len(instanceNames))
				for _, n := range instanceNames {
					if n != c.leader() {
						others = append(others, n)
					}
				}
				switch name {
				case "leader takes":
					f(t, c, c.leader(), others[0])
				case "leader cancels":
					f(t, c, others[0], c.leader())
				default:
					f(t, c, others[0], others[1])
				}
			})
		})
	}
}

// checkNeverRan fails if a job has run or is shown, also after all instances were lost.
func (c *cluster) checkNeverRan(is *is.I, id string) {
	check := func() {
		time.Sleep(8 * time.Second)
		is.True(!c.fleet.HasStarted(id))
		for _, name := range instanceNames {
			phase, err := c.phase(name, "patient", id)
			if err == nil {
				is.Equal(phase, crank.PhaseCancelled)
				continue
			}
			is.Equal(crank.KindOf(err), crank.KindExpired)
		}
	}
	check()
	for _, name := range instanceNames {
		c.kill(name)
	}
	c.startAll(instanceNames...)
	check()
}

// A suspended instance ran jobs that had been cancelled at another one meanwhile.
func TestSubmissionReadAfterItsCancellationNeverRuns(t *testing.T) {
	eachRole(t, func(t *testing.T, c *cluster, taker, canceller string) {
		is := is.New(t)
		is.Equal(crank.KindOf(c.cancel(canceller, "patient", "job1")), crank.KindExpired)
		is.Equal(crank.KindOf(c.submit(taker, "patient", "job1", independentTasks(2, time.Second))), crank.KindUnavailable)
		c.checkNeverRan(is, "job1")
	})
}

// The same, by an instance that has not read the cancellation when it stores the job.
func TestSubmissionAtAnInstanceThatHasNotReadItsCancellationNeverRuns(t *testing.T) {
	for _, direct := range []bool{false, true} {
		eachRole(t, func(t *testing.T, c *cluster, taker, canceller string) {
			is := is.New(t)
			c.update(func() {
				c.storeFaults = func(caller, call string) crankfakestore.Fault {
					return crankfakestore.Fault{DropResponse: call == "read" && strings.HasPrefix(caller, taker+"#")}
				}
				c.peersCut[c.running[taker].caller] = direct
			})
			time.Sleep(300 * time.Millisecond) // reads that have begun end
			is.Equal(crank.KindOf(c.cancel(canceller, "patient", "job1")), crank.KindExpired)
			result := make(chan error, 1)
			go func() { result <- c.submit(taker, "patient", "job1", independentTasks(2, time.Second)) }()
			time.Sleep(500 * time.Millisecond)
			clearStoreFaults(c)
			c.reconnect()
			is.True(<-result != nil)
			c.checkNeverRan(is, "job1")
		})
	}
}

// An append that the store carries out late stored jobs that had been cancelled meanwhile:
// that of the accepting instance, or that of the leader.
func TestSubmissionInASlowStoreNeverRunsOnceCancelled(t *testing.T) {
	for _, direct := range []bool{false, true} {
		eachRole(t, func(t *testing.T, c *cluster, taker, canceller string) {
			is := is.New(t)
			slow := taker
			if !direct {
				slow = c.leader()
			}
			if slow == canceller {
				return // its cancellation waits behind the submission
			}
			c.update(func() {
				c.storeFaults = func(caller, call string) crankfakestore.Fault {
					if call == "append" && strings.HasPrefix(caller, slow+"#") {
						return crankfakestore.Fault{EffectDelay: 2500 * time.Millisecond}
					}
					return crankfakestore.Fault{}
				}
				c.peersCut[c.running[slow].caller] = true
			})
			result := make(chan error, 1)
			go func() { result <- c.submit(taker, "patient", "job1", independentTasks(2, time.Second)) }()
			time.Sleep(500 * time.Millisecond)
			err := c.cancel(canceller, "patient", "job1")
			is.True(err == nil || crank.KindOf(err) == crank.KindExpired)
			time.Sleep(3 * time.Second)
			clearStoreFaults(c)
			c.reconnect()
			is.True(<-result != nil)
			c.checkNeverRan(is, "job1")
		})
	}
}

// A submission that was stored right after its cancellation, which neither its instance nor the
// leader had read, was answered as accepted and never ran.
func TestSubmissionBesideItsCancellationIsAnsweredTruly(t *testing.T) {
	for offset := time.Duration(0); offset < 40*time.Millisecond; offset += 2 * time.Millisecond {
		for _, direct := range []bool{false, true} {
			eachRole(t, func(t *testing.T, c *cluster, taker, canceller string) {
				is := is.New(t)
				c.update(func() { c.peersCut[c.running[taker].caller] = direct })
				cancelled := make(chan error, 1)
				go func() { cancelled <- c.cancel(canceller, "patient", "job1") }()
				time.Sleep(offset)
				accepted := c.submit(taker, "patient", "job1", independentTasks(2, time.Second))
				err := <-cancelled
				is.True(err == nil || crank.KindOf(err) == crank.KindExpired)
				c.reconnect()
				time.Sleep(8 * time.Second)
				phase, err := c.phase(taker, "patient", "job1")
				if accepted == nil {
					is.NoErr(err)
					is.Equal(phase, crank.PhaseCancelled)
				} else {
					is.Equal(crank.KindOf(accepted), crank.KindUnavailable)
					is.Equal(crank.KindOf(err), crank.KindExpired)
				}
				is.Equal(c.fleet.DoneTasks("job1"), 0)
			})
		}
	}
}
