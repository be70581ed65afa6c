package crankentry

import (
	"context"
	"sync"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/cranklead"
)

// leaderBackoff is how long a leader that did not answer is not called again.
const leaderBackoff = 1 * time.Second

// localLeader serves crank.Leader at this instance while it holds the term.
type localLeader struct{ e *Entry }

// Submit implements crank.Leader.
func (l localLeader) Submit(ctx context.Context, job crank.StepJob) error {
	s := l.e.scheduler.Load()
	if s == nil {
		return crank.Fail("leader submit", crank.KindUnavailable, "this instance does not hold the term")
	}
	return s.Submit(ctx, job)
}

// AwaitEnd implements crank.Leader.
func (l localLeader) AwaitEnd(ctx context.Context, job string, wait time.Duration) (crank.Phase, error) {
	s := l.e.scheduler.Load()
	if s == nil {
		return "", crank.Fail("leader await", crank.KindUnavailable, "this instance does not hold the term")
	}
	return s.AwaitEnd(ctx, job, wait)
}

// leaderRoute is a crank.Leader that calls the holder of the newest term, here or at
// another instance.
type leaderRoute struct {
	e            *Entry
	mu           sync.Mutex
	silent       string    // incarnation of the holder that did not answer the last call
	backoffUntil time.Time // silent is not called before then
}

// Submit implements crank.Leader.
func (l *leaderRoute) Submit(ctx context.Context, job crank.StepJob) error {
	return l.call("leader submit", func(leader crank.Leader) error { return leader.Submit(ctx, job) })
}

// AwaitEnd implements crank.Leader.
func (l *leaderRoute) AwaitEnd(ctx context.Context, job string, wait time.Duration) (crank.Phase, error) {
	var phase crank.Phase
	err := l.call("leader await", func(leader crank.Leader) error {
		var err error
		phase, err = leader.AwaitEnd(ctx, job, wait)
		return err
	})
	return phase, err
}

func (l *leaderRoute) call(op string, call func(crank.Leader) error) error {
	holder := l.e.elector.Term().Holder
	if holder == l.e.elector.Incarnation {
		return call(localLeader{l.e})
	}
	announced, ok := l.e.jobs.View().State.Instance(cranklead.InstanceOf(holder), time.Now())
	if !ok {
		return crank.Fail(op, crank.KindUnavailable, "the holder of the term has not announced itself")
	}
	if l.backsOff(holder) {
		return crank.Fail(op, crank.KindUnavailable, "the holder of the term did not answer before")
	}
	err := call(l.e.Leaders.Leader(announced.Addr, announced.Key))
	if l.e.Planning.Adaptive {
		err = crank.Certain(op, err)
	}
	if err != nil && crank.KindOf(err) == crank.KindUnknown {
		l.backOff(holder)
	}
	return err
}

func (l *leaderRoute) backsOff(holder string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent == holder && time.Now().Before(l.backoffUntil)
}

func (l *leaderRoute) backOff(holder string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent, l.backoffUntil = holder, time.Now().Add(leaderBackoff)
}
