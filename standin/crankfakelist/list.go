// Package crankfakelist is a small stand-in for the platform's lagging list of
// instances.
package crankfakelist

import (
	"context"
	"sort"
	"sync"
	"time"

	crank "cranberrycrank"
)

// Config sets up a List.
type Config struct {
	Lag time.Duration // from a change to its appearance in the list
}

// List shows instances as they were a while ago.
type List struct {
	config  Config
	mu      sync.Mutex
	current map[string]crank.Instance
	shown   map[string]crank.Instance
	changes []func() // not shown yet, oldest first
	down    bool
}

// New returns an empty list.
func New(c Config) *List {
	return &List{config: c, current: map[string]crank.Instance{}, shown: map[string]crank.Instance{}}
}

// Put adds or replaces an instance; readers see it after the lag.
func (l *List) Put(i crank.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current[i.ID] = i
	l.later(func() { l.shown[i.ID] = i })
}

// Remove takes an instance off; readers see it after the lag.
func (l *List) Remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.current, id)
	l.later(func() { delete(l.shown, id) })
}

// Leave marks an instance as leaving; readers see it after the lag.
func (l *List) Leave(id string) {
	l.mu.Lock()
	i, ok := l.current[id]
	l.mu.Unlock()
	if !ok {
		return
	}
	i.Leaving = true
	l.Put(i)
}

// SetDown makes every read fail, or succeed again.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Current returns the instances without the lag.
func (l *List) Current() []crank.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	return sorted(l.current)
}

// Instances implements crank.List.
func (l *List) Instances(context.Context) ([]crank.Instance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, crank.Fail("list read", crank.KindUnavailable, "the list is down")
	}
	return sorted(l.shown), nil
}

// later shows a change after the lag, in the order of the changes.
func (l *List) later(change func()) {
	if l.config.Lag == 0 {
		change()
		return
	}
	l.changes = append(l.changes, change)
	time.AfterFunc(l.config.Lag, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.changes[0]()
		l.changes = l.changes[1:]
	})
}

func sorted(m map[string]crank.Instance) []crank.Instance {
	list := make([]crank.Instance, 0, len(m))
	for _, i := range m {
		list = append(list, i)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].ID < list[b].ID })
	return list
}
