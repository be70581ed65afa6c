// Package crankbox is the event box at which the parts of an instance meet:
// one part publishes snapshots, the others wait for them.
package crankbox

import (
	"context"
	"sync"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankfold"
	"cranberrycrank/internal/crankwait"
)

// View is a state and the time at which it was certainly current.
type View struct {
	State crankfold.State
	Fresh time.Time // start of the read that reached the end of the log
	Ready bool      // the state is whole
}

// Stale reports whether the view is too old to judge a request on.
func (v View) Stale() bool { return !v.Ready || time.Since(v.Fresh) > crank.StateFreshness }

// Box holds the newest view.
type Box struct {
	mu      sync.Mutex
	view    View
	changed chan struct{}
}

// New returns a box with an empty state that is not ready.
func New() *Box {
	return &Box{view: View{State: crankfold.New()}, changed: make(chan struct{})}
}

// Set replaces the view and wakes all that wait.
func (b *Box) Set(v View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.view = v
	close(b.changed)
	b.changed = make(chan struct{})
}

// Get returns the newest view and a channel that is closed at the next one.
func (b *Box) Get() (View, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view, b.changed
}

// View returns the newest view.
func (b *Box) View() View {
	v, _ := b.Get()
	return v
}

// Wait returns the first view that satisfies a condition. It fails with
// KindUnavailable when the context ends.
func (b *Box) Wait(ctx context.Context, condition func(View) bool) (View, error) {
	var v View
	err := crankwait.Until(ctx, "state wait", func() (bool, <-chan struct{}) {
		var changed <-chan struct{}
		v, changed = b.Get()
		return condition(v), changed
	})
	return v, err
}
