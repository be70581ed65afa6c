package crankentryproof

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakefleet"

	"github.com/matryer/is"
)

// gangLog records the starts and ends of gang members.
type gangLog struct {
	mu     sync.Mutex
	events []crankfakefleet.Event
}

// recordGangs records the starts and ends of gang members from now on.
func (c *cluster) recordGangs() *gangLog {
	l := &gangLog{}
	c.fleet.UpdateConfig(func(f *crankfakefleet.Config) {
		f.Observe = func(e crankfakefleet.Event) {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.events = append(l.events, e)
		}
	})
	return l
}

// ends returns the ends of a kind.
func (l *gangLog) ends(how crank.EndKind) []crankfakefleet.Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ends []crankfakefleet.Event
	for _, e := range l.events {
		if e.Kind == crankfakefleet.EventEnded && e.How == how {
			ends = append(ends, e)
		}
	}
	return ends
}

// starts returns the starts.
func (l *gangLog) starts() []crankfakefleet.Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	var starts []crankfakefleet.Event
	for _, e := range l.events {
		if e.Kind == crankfakefleet.EventStarted {
			starts = append(starts, e)
		}
	}
	return starts
}

// awaitStart waits until a member has started.
func (l *gangLog) awaitStart() {
	for started := false; !started; time.Sleep(5 * time.Millisecond) {
		l.mu.Lock()
		started = len(l.events) > 0
		l.mu.Unlock()
	}
}

// disturbLaterStarts injects a fault into all start orders but the first.
func (c *cluster) disturbLaterStarts(later crankfakefleet.Fault) {
	starts := 0
	c.update(func() {
		c.workerFaults = func(_, _, call string) crankfakefleet.Fault {
			if call != "start" {
				return crankfakefleet.Fault{}
			}
			if starts++; starts == 1 {
				return crankfakefleet.Fault{}
			}
			return later
		}
	})
}

// A leader that gave its term up cancelled those orders of a gang that had not arrived.
func TestGangOrderedAtTheEndOfATermStartsWhole(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(4)
		time.Sleep(settled)
		log := c.recordGangs()
		c.disturbLaterStarts(crankfakefleet.Fault{TransitTime: 150 * time.Millisecond})
		caller := c.notLeader()
		is.NoErr(c.submit(caller, "urgent", "job1", gangStep(4, 8, 4*time.Second)))
		log.awaitStart()
		c.shutDown(c.leader())
		c.awaitPhase(caller, "urgent", "job1", crank.PhaseCompleted, 5*time.Second)
		is.Equal(log.ends(crank.EndGangTimeout), nil)
		is.Equal(c.fleet.Runs(), 4)
	})
}

// A gang of which an order got no answer was left in part to the successor.
func TestGangIsStoppedBeforeTheTermIsReleased(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(4)
		time.Sleep(settled)
		log := c.recordGangs()
		c.disturbLaterStarts(crankfakefleet.Fault{DropRequest: true})
		caller := c.notLeader()
		is.NoErr(c.submit(caller, "urgent", "job1", gangStep(4, 8, time.Second)))
		log.awaitStart()
		c.shutDown(c.leader())
		clearWorkerFaults(c)
		time.Sleep(leaseBounds.StopTime)
		is.Equal(len(log.ends(crank.EndStopped)), 1) // the successor's stop would take effect later
		c.awaitPhase(caller, "urgent", "job1", crank.PhaseCompleted, 3*time.Second)
	})
}

// A successor left the members alone that its predecessor had started before it was lost.
func TestSuccessorEndsAPartOfAGang(t *testing.T) {
	for _, members := range []int{2, 4} {
		t.Run(fmt.Sprint(members), func(t *testing.T) {
			bounds := leaseBounds
			bounds.GangTimeout = 5 * time.Second
			playWithBounds(t, bounds, func(t *testing.T, c *cluster) {
				is := is.New(t)
				c.setUp(4)
				time.Sleep(settled)
				log := c.recordGangs()
				c.disturbLaterStarts(crankfakefleet.Fault{DropRequest: true})
				caller := c.notLeader()
				is.NoErr(c.submit(caller, "urgent", "job1", gangStep(members, 8, time.Second)))
				log.awaitStart()
				c.kill(c.leader())
				clearWorkerFaults(c)
				c.awaitPhase(caller, "urgent", "job1", crank.PhaseCompleted, 3500*time.Millisecond)
				is.Equal(log.ends(crank.EndGangTimeout), nil)
				is.Equal(c.fleet.Runs(), members+1)
			}, func(t *testing.T, violation string) { t.Error(violation) })
		})
	}
}

// A gang that works is not taken for a part, also while a member's worker does not answer.
func TestSuccessorKeepsAGangThatWorks(t *testing.T) {
	for _, silence := range []time.Duration{0, 1500 * time.Millisecond} {
		t.Run(silence.String(), func(t *testing.T) {
			runInCluster(t, func(t *testing.T, c *cluster) {
				is := is.New(t)
				c.setUp(4)
				time.Sleep(settled)
				log, caller := c.recordStarts(), c.notLeader()
				is.NoErr(c.submit(caller, "urgent", "job1", gangStep(4, 8, 8*time.Second)))
				time.Sleep(time.Second)
				worker := log.workerOf(crank.TaskID{Job: "job1", Index: 2})
				if silence > 0 {
					c.cutWorker(worker)
				}
				c.kill(c.leader())
				time.Sleep(silence)
				c.reconnectWorker(worker)
				c.awaitPhase(caller, "urgent", "job1", crank.PhaseCompleted, 9*time.Second)
				is.Equal(c.fleet.Runs(), 4)
			})
		})
	}
}

// A leader that became too slow yielded between the orders of a gang.
func TestNoGangMemberIsAloneWhenASlowLeaderYields(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(8)
		time.Sleep(settled)
		log := c.recordGangs()
		term, caller, leader := c.termNumber(), c.notLeader(), c.leader()
		c.update(func() {
			c.logDelay[c.running[leader].caller] = slowLine / 2
			c.workerFaults = func(_, worker, call string) crankfakefleet.Fault {
				if call != "start" || worker == workerID(0) {
					return crankfakefleet.Fault{}
				}
				return crankfakefleet.Fault{TransitTime: 3 * slowLine}
			}
		})
		for i := range 25 {
			// Jobs that a slow leader does not take in time are not what is tested.
			_ = c.submit(caller, "urgent", fmt.Sprintf("gang%d", i), gangStep(3, 4, time.Second))
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(leaseBounds.GangTimeout + settled)
		is.Equal(c.termNumber(), term+1)
		for _, e := range log.ends(crank.EndGangTimeout) {
			t.Error(strings.Join([]string{e.Task.String(), fmt.Sprint("run ", e.Run), e.Worker, "ended alone"}, ", "))
		}
	})
}

// The other members of a gang waited for one whose worker had restarted before its start.
func TestGangIsStoppedWhenAMembersWorkerEndsBeforeItsStart(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(4)
		time.Sleep(settled)
		log := c.recordGangs()
		c.disturbLaterStarts(crankfakefleet.Fault{TransitTime: 500 * time.Millisecond})
		is.NoErr(c.submit("a", "urgent", "job1", gangStep(4, 8, time.Second)))
		log.awaitStart()
		late := workerID(0)
		if log.starts()[0].Worker == late {
			late = workerID(1)
		}
		c.restart(late)
		clearWorkerFaults(c)
		c.awaitPhase("a", "urgent", "job1", crank.PhaseCompleted, 3*time.Second)
		is.Equal(log.ends(crank.EndGangTimeout), nil)
	})
}
