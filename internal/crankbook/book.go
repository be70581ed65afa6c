package crankbook

import (
	"context"
	"log/slog"
	"sync"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankwait"
)

// View is a state and how current it is.
type View struct {
	State State
	Fresh time.Time    // everything stored by then is in the state; zero before the first load
	End   crank.Offset // everything before it is in the state
}

// Book holds the newest view of the job topic. It implements crankfeed.Sink.
type Book struct {
	logger  *slog.Logger
	mu      sync.Mutex
	view    View
	changed chan struct{}
	waiting int           // calls of Wait
	hurry   chan struct{} // gets a token when a call of Wait begins to wait
}

// New returns an empty book.
func New(logger *slog.Logger) *Book {
	return &Book{logger: logger, view: View{State: NewState()}, changed: make(chan struct{}), hurry: make(chan struct{}, 1)}
}

// Reset implements crankfeed.Sink.
func (b *Book) Reset(records []crank.KeyedRecord) {
	b.mu.Lock()
	fresh := NewState()
	fresh.Revision = b.view.State.Revision
	b.mu.Unlock()
	b.fold(fresh, records)
}

// Apply implements crankfeed.Sink.
func (b *Book) Apply(records []crank.KeyedRecord) { b.fold(b.View().State, records) }

func (b *Book) fold(s State, records []crank.KeyedRecord) {
	now := time.Now()
	for _, r := range records {
		next, err := s.With(r, now)
		if err != nil {
			b.logger.Warn("book: record ignored", "key", r.Key, "offset", r.Offset, "error", err)
		}
		s = next
	}
	b.set(func(v *View) { v.State = s })
}

// Reached implements crankfeed.Sink.
func (b *Book) Reached(at time.Time, end crank.Offset) {
	b.set(func(v *View) { v.Fresh, v.End = at, end })
}

func (b *Book) set(change func(*View)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change(&b.view)
	close(b.changed)
	b.changed = make(chan struct{})
}

// Get returns the newest view and a channel that is closed at the next one.
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
	b.await(1)
	defer b.await(-1)
	select {
	case b.hurry <- struct{}{}:
	default:
	}
	var v View
	err := crankwait.Until(ctx, "book wait", func() (bool, <-chan struct{}) {
		var changed <-chan struct{}
		v, changed = b.Get()
		return condition(v), changed
	})
	return v, err
}

func (b *Book) await(calls int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting += calls
}

// Awaited reports whether a call of Wait waits for a newer view.
func (b *Book) Awaited() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.waiting > 0
}

// Hurry returns a channel that gets a token when a call of Wait begins to wait
// for a newer view.
func (b *Book) Hurry() <-chan struct{} { return b.hurry }
