// Package crankcache caches the newest replicated state of an entry instance. The
// follower sets it; the other components read it or wait for a change.
package crankcache

import (
	"context"
	"sync"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankstate"
	"cranberrycrank/internal/crankwait"
)

// View is a state and the time at which it was certainly current.
type View struct {
	State crankstate.State
	AsOf  time.Time // start of the read that reached the end of the log
	Ready bool      // the state is loaded and has no gap
}

// Stale reports whether the view is not ready or older than MaxStateAge, so that no
// request may be decided on it.
func (v View) Stale() bool { return !v.Ready || time.Since(v.AsOf) > crank.MaxStateAge }

// StateCache holds the newest view.
type StateCache struct {
	mu      sync.Mutex
	view    View
	changed chan struct{} // closed at the next Set
}

// New returns a cache with an empty state that is not ready.
func New() *StateCache {
	return &StateCache{view: View{State: crankstate.New()}, changed: make(chan struct{})}
}

// Set replaces the view and wakes all waiters.
func (c *StateCache) Set(v View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view = v
	close(c.changed)
	c.changed = make(chan struct{})
}

// Get returns the newest view and a channel that is closed at the next Set.
func (c *StateCache) Get() (View, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view, c.changed
}

// View returns the newest view.
func (c *StateCache) View() View {
	v, _ := c.Get()
	return v
}

// Wait returns the first view that satisfies a condition. It fails with
// KindUnavailable when the context ends.
func (c *StateCache) Wait(ctx context.Context, condition func(View) bool) (View, error) {
	var v View
	err := crankwait.Until(ctx, "state wait", func() (bool, <-chan struct{}) {
		var changed <-chan struct{}
		v, changed = c.Get()
		return condition(v), changed
	})
	return v, err
}
