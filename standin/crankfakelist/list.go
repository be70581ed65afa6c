// Package crankfakelist is an in-memory stand-in for the platform's list of
// instances. Readers see each change after a fixed lag.
package crankfakelist

import (
	"context"
	"sort"
	"sync"
	"time"

	crank "cranberrycrank"
)

// Config holds the settings of a List.
type Config struct {
	Lag time.Duration // time until readers see a change, 0 for none
}

// List is a lagging instance list. It is safe for concurrent use.
type List struct {
	config  Config
	mu      sync.Mutex
	current map[string]crank.Instance
	visible map[string]crank.Instance
	pending []func() // changes not yet visible, oldest first
	down    bool
}

// New returns an empty list.
func New(c Config) *List {
	return &List{config: c, current: map[string]crank.Instance{}, visible: map[string]crank.Instance{}}
}

// Put adds or replaces an instance; readers see it after the lag.
func (l *List) Put(i crank.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current[i.ID] = i
	l.applyAfterLag(func() { l.visible[i.ID] = i })
}

// Remove deletes an instance; readers see it after the lag.
func (l *List) Remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.current, id)
	l.applyAfterLag(func() { delete(l.visible, id) })
}

// MarkLeaving marks an instance as leaving; readers see it after the lag.
func (l *List) MarkLeaving(id string) {
	l.mu.Lock()
	i, ok := l.current[id]
	l.mu.Unlock()
	if !ok {
		return
	}
	i.Leaving = true
	l.Put(i)
}

// SetDown sets whether reads fail.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Current returns the instances without the lag, sorted by ID.
func (l *List) Current() []crank.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	return sorted(l.current)
}

// Instances implements crank.InstanceList.
func (l *List) Instances(context.Context) ([]crank.Instance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, crank.Fail("list read", crank.KindUnavailable, "the list is down")
	}
	return sorted(l.visible), nil
}

// applyAfterLag makes changes visible after the lag, in the order of the calls.
func (l *List) applyAfterLag(change func()) {
	if l.config.Lag == 0 {
		change()
		return
	}
	l.pending = append(l.pending, change)
	time.AfterFunc(l.config.Lag, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.pending[0]()
		l.pending = l.pending[1:]
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
