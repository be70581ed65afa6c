package crankbook

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

// Book keeps the newest view of the job topic. It implements crankfeed.Sink.
type Book struct {
	logger      *slog.Logger
	mu          sync.Mutex
	view        View
	changed     chan struct{}
	waiters     int           // number of blocked calls of Wait
	waitStarted chan struct{} // gets a token when a call of Wait starts to block
}

// New returns an empty copy of the topic.
func New(logger *slog.Logger) *Book {
	return &Book{logger: logger, view: View{State: NewState()}, changed: make(chan struct{}), waitStarted: make(chan struct{}, 1)}
}

// Reset implements crankfeed.Sink.
func (b *Book) Reset(records []crank.KeyedRecord) {
	b.mu.Lock()
	fresh := NewState()
	fresh.Revision = b.view.State.Revision
	b.mu.Unlock()
	b.applyTo(fresh, records)
}

// Apply implements crankfeed.Sink.
func (b *Book) Apply(records []crank.KeyedRecord) { b.applyTo(b.View().State, records) }

func (b *Book) applyTo(s State, records []crank.KeyedRecord) {
	now := time.Now()
	for _, r := range records {
		next, err := s.With(r, now)
		if err != nil {
			b.logger.Warn("book: undecodable record ignored", "key", r.Key, "offset", r.Offset, "error", err)
		}
		s = next
	}
	b.update(func(v *View) { v.State = s })
}

// CaughtUp implements crankfeed.Sink.
func (b *Book) CaughtUp(at time.Time, end crank.Offset) {
	b.update(func(v *View) { v.AsOf, v.End = at, end })
}

func (b *Book) update(change func(*View)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change(&b.view)
	close(b.changed)
	b.changed = make(chan struct{})
}

// Get returns the newest view and a channel that is closed when it changes.
func (b *Book) Get() (View, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view, b.changed
}

// View returns the newest view.
func (b *Book) View() View {
	v, _ := b.Get()
	return v
}

// Wait returns the first view that satisfies a condition. It fails with
// KindUnavailable when the context ends.
func (b *Book) Wait(ctx context.Context, condition func(View) bool) (View, error) {
	if v := b.View(); condition(v) {
		return v, nil
	}
	b.addWaiters(1)
	defer b.addWaiters(-1)
	select {
	case b.waitStarted <- struct{}{}:
	default:
	}
	var v View
	err := crankwait.Until(ctx, "job state wait", func() (bool, <-chan struct{}) {
		var changed <-chan struct{}
		v, changed = b.Get()
		return condition(v), changed
	})
	return v, err
}

func (b *Book) addWaiters(calls int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiters += calls
}

// HasWaiters reports whether a call of Wait is blocked.
func (b *Book) HasWaiters() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.waiters > 0
}

// WaitStarted returns a channel that gets a token when a call of Wait starts to
// block.
func (b *Book) WaitStarted() <-chan struct{} { return b.waitStarted }
