package crankpack

import (
	"cmp"
	"slices"

	crank "cranberrycrank"
)

// Eviction is what it takes to stop all best-effort tasks of a worker.
type Eviction struct {
	Freed crank.Demand // beside Future
	Cost  float64      // core-seconds of work that is lost
}

// Evict returns the workers whose best-effort tasks cost least to stop so that the request
// fits, or nil. Workers without an eviction keep theirs. It does not change the pool.
//
// Load pattern: best-effort tasks run on all workers, and a task with a latency target,
// which must not share one with them, finds no place however idle the workers are.
func (p *Pool) Evict(q Request, evictions map[string]Eviction) []*WorkerCapacity {
	groups := p.racks
	if !q.Step.SameRack {
		groups = [][]*WorkerCapacity{p.Workers}
	}
	var best []*WorkerCapacity
	bestCost := 0.0
	for _, workers := range groups {
		chosen, cost := evictAmong(workers, q, evictions)
		if chosen != nil && (best == nil || cost < bestCost) {
			best, bestCost = chosen, cost
		}
	}
	return best
}

func evictAmong(workers []*WorkerCapacity, q Request, evictions map[string]Eviction) (chosen []*WorkerCapacity, cost float64) {
	placed := 0
	var candidates []*WorkerCapacity
	for _, w := range workers {
		placed += w.fitCount(q, FutureCapacity, crank.Demand{}, q.Tasks-placed)
		if _, ok := evictions[w.Worker]; ok {
			candidates = append(candidates, w)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *WorkerCapacity) int {
		return cmp.Compare(evictions[a.Worker].Cost, evictions[b.Worker].Cost)
	})
	for _, w := range candidates {
		if placed >= q.Tasks {
			break
		}
		e, emptied := evictions[w.Worker], *w
		emptied.HasBestEffort = false
		if n := emptied.fitCount(q, FutureCapacity, e.Freed, q.Tasks-placed); n > 0 {
			placed, chosen, cost = placed+n, append(chosen, w), cost+e.Cost
		}
	}
	if placed < q.Tasks {
		return nil, 0
	}
	return chosen, cost
}
