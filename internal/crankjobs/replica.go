package crankjobs

import (
	"context"
	"log/slog"
	"sync"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankwait"
)

// View is a snapshot of the job topic and how current it is.
type View struct {
	State State
	AsOf  time.Time    // all records stored by then are in the state; zero before the first load
	End   crank.Offset // all records before it are in the state
}

// JobReplica keeps the newest view of the job topic. It implements crankfeed.Sink.
type JobReplica struct {
	logger      *slog.Logger
	mu          sync.Mutex
	view        View
	changed     chan struct{}
	waiters     int           // blocked calls of Wait
	waitStarted chan struct{} // see WaitStarted
	withdrawn   chan struct{} // see Withdrawn
}

// New returns an empty replica.
func New(logger *slog.Logger) *JobReplica {
	return &JobReplica{logger: logger, view: View{State: NewState()}, changed: make(chan struct{}), waitStarted: make(chan struct{}, 1), withdrawn: make(chan struct{}, 1)}
}

// Reset implements crankfeed.Sink.
func (j *JobReplica) Reset(records []crank.KeyedRecord) {
	j.mu.Lock()
	fresh := NewState()
	fresh.Revision = j.view.State.Revision
	j.mu.Unlock()
	j.applyTo(fresh, records)
}

// Apply implements crankfeed.Sink.
func (j *JobReplica) Apply(records []crank.KeyedRecord) { j.applyTo(j.View().State, records) }

func (j *JobReplica) applyTo(s State, records []crank.KeyedRecord) {
	now, revision := time.Now(), s.Revision
	for _, r := range records {
		next, err := s.With(r, now)
		if err != nil {
			j.logger.Warn("jobs: undecodable record ignored", "key", r.Key, "offset", r.Offset, "error", err)
		}
		s = next
	}
	j.update(func(v *View) { v.State = s })
	if s.withdrawals.newest > revision {
		notify(j.withdrawn)
	}
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// CaughtUp implements crankfeed.Sink.
func (j *JobReplica) CaughtUp(at time.Time, end crank.Offset) {
	j.update(func(v *View) { v.AsOf, v.End = at, end })
}

func (j *JobReplica) update(change func(*View)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	change(&j.view)
	close(j.changed)
	j.changed = make(chan struct{})
}

// Watch returns the newest view and a channel that is closed when it changes.
func (j *JobReplica) Watch() (View, <-chan struct{}) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.view, j.changed
}

// View returns the newest view.
func (j *JobReplica) View() View {
	v, _ := j.Watch()
	return v
}

// Wait returns the first view that satisfies a condition. It fails with
// KindUnavailable when the context ends.
func (j *JobReplica) Wait(ctx context.Context, condition func(View) bool) (View, error) {
	if v := j.View(); condition(v) {
		return v, nil
	}
	j.addWaiters(1)
	defer j.addWaiters(-1)
	notify(j.waitStarted)
	var v View
	err := crankwait.Until(ctx, "book wait", func() (bool, <-chan struct{}) {
		var changed <-chan struct{}
		v, changed = j.Watch()
		return condition(v), changed
	})
	return v, err
}

func (j *JobReplica) addWaiters(calls int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.waiters += calls
}

// HasWaiters reports whether a call of Wait is blocked.
func (j *JobReplica) HasWaiters() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.waiters > 0
}

// WaitStarted returns a channel that gets a token when a call of Wait starts to
// block.
func (j *JobReplica) WaitStarted() <-chan struct{} { return j.waitStarted }

// Withdrawn returns a channel that gets a token after withdrawals were read.
func (j *JobReplica) Withdrawn() <-chan struct{} { return j.withdrawn }
