package crankentryproof

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankgate"
	"cranberrycrank/standin/crankfakestore"

	"github.com/matryer/is"
)

// lateLeader gives no answer to the first submission and carries it out later. It answers
// the others with an error.
type lateLeader struct {
	crank.Leader
	late  time.Duration
	then  error
	calls atomic.Int32
}

// Submit implements crank.Leader.
func (l *lateLeader) Submit(ctx context.Context, job crank.StepJob) error {
	if l.calls.Add(1) > 1 {
		return l.then
	}
	time.AfterFunc(l.late, func() { _ = l.Leader.Submit(context.WithoutCancel(ctx), job) })
	<-ctx.Done()
	return crank.Wrap("test", crank.KindUnknown, ctx.Err())
}

// refusingStore refuses all appends.
type refusingStore struct{ crank.Store }

// Append implements crank.Store.
func (refusingStore) Append(context.Context, crank.StoreAppend) (crank.Offset, error) {
	return 0, crank.Fail("test", crank.KindUnavailable, "no")
}

// No later answer, as a refused connection to the leader, may be told to a caller as "not
// run" when an earlier try of its submission got none.
func TestNoRefusalIsToldAfterATryWithoutAnswer(t *testing.T) {
	for _, kind := range []crank.Kind{crank.KindUnavailable, crank.KindLimited, crank.KindInvalid, crank.KindTooLarge, crank.KindFenced, crank.KindConflict, crank.KindUnknown} {
		t.Run(string(kind), func(t *testing.T) {
			runInCluster(t, func(t *testing.T, c *cluster) {
				is := is.New(t)
				c.setUp(4)
				inst := c.running["a"]
				config := inst.Requests.Config
				leader := &lateLeader{Leader: c.running[c.leader()].PeerLeader(), late: 4 * time.Second, then: crank.Fail("test", kind, "no")}
				config.Leader = leader
				config.Writer = startWriter(t.Context(), refusingStore{}, crank.StoreLimits{}) // nor can it be stored directly
				steps := []crank.Step{independentTasks(1, time.Second)}
				c.update(func() { c.jobs["job1"] = crank.StepJob{ID: "job1", Payload: "plan job1", Steps: steps, Attempts: 5} })
				r, err := inst.Requests.Route(t.Context(), crankgate.Request{Host: host, Path: "/patient/job1", Key: c.key, Deadline: 3 * time.Second, Hold: true})
				is.NoErr(err)
				err = crankgate.New(config).Submit(t.Context(), r, crank.StepJob{Payload: "plan job1", Steps: steps})
				is.True(err != nil)
				is.Equal(crank.KindOf(err), crank.KindUnknown)
				is.True(leader.calls.Load() > 1)
				time.Sleep(10 * time.Second)
				is.Equal(c.fleet.Runs(), 1) // the first try was carried out
			})
		})
	}
}

// The same of a cancellation whose append got no answer.
func TestNoRefusalIsToldAfterACancellationWithoutAnswer(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(4)
		is.NoErr(c.submit("a", "patient", "job1", independentTasks(1, 20*time.Second)))
		time.Sleep(time.Second)
		inst, appends := c.running["a"], 0
		c.update(func() {
			c.peersCut[inst.caller] = true
			c.storeFaults = func(caller, call string) crankfakestore.Fault {
				if call != "append" || caller != inst.caller {
					return crankfakestore.Fault{}
				}
				if appends++; appends == 1 {
					return crankfakestore.Fault{EffectDelay: 6 * time.Second}
				}
				return crankfakestore.Fault{Refuse: true}
			}
		})
		r, err := inst.Requests.Route(t.Context(), crankgate.Request{Host: host, Path: "/patient/job1", Key: c.key, Deadline: 3 * time.Second, Hold: true})
		is.NoErr(err)
		err = inst.Requests.Cancel(t.Context(), r)
		is.True(err != nil)
		is.Equal(crank.KindOf(err), crank.KindUnknown)
		c.update(func() {
			c.storeFaults = nil
			clear(c.peersCut)
		})
		c.awaitPhase("b", "patient", "job1", crank.PhaseCancelled, 10*time.Second)
	})
}
