package crankpack

import (
	"cmp"
	"math"
	"slices"
	"time"

	crank "cranberrycrank"
)

// UnknownEnd is the ExpectedEnd.Late of a run of which it is not known when it ends.
const UnknownEnd = time.Duration(math.MaxInt64)

// opening is when a worker has room for one more task.
type opening struct {
	in     time.Duration
	worker *WorkerCapacity
}

// SoonestFree returns the workers that have room for the request soonest if nothing is
// stopped, and when, by ExpectedEnd.Late; nil if that takes longer than limit.
//
// Load pattern: in each round of a burst, every waiting urgent gang asks when it finds room
// on one of 44 racks. Only the few runs that end within the limit are looked at.
func (p *Pool) SoonestFree(q Request, limit time.Duration) ([]*WorkerCapacity, time.Duration) {
	groups := p.racks
	if !q.Step.SameRack {
		groups = [][]*WorkerCapacity{p.Workers}
	}
	var best []opening
	for _, workers := range groups {
		var openings []opening
		for _, w := range workers {
			openings = w.addOpenings(openings, q, limit)
		}
		if len(openings) < q.Tasks {
			continue
		}
		slices.SortStableFunc(openings, func(a, b opening) int { return cmp.Compare(a.in, b.in) })
		openings = openings[:q.Tasks]
		if best == nil || openings[q.Tasks-1].in < best[q.Tasks-1].in {
			best = openings
		}
	}
	if best == nil {
		return nil, 0
	}
	workers := make([]*WorkerCapacity, q.Tasks)
	for i, o := range best {
		workers[i] = o.worker
	}
	return workers, best[q.Tasks-1].in
}

// addOpenings adds those of a worker within the limit.
func (w *WorkerCapacity) addOpenings(openings []opening, q Request, limit time.Duration) []opening {
	if !w.admits(q, EventualCapacity) {
		return openings
	}
	n := q.Tasks
	if m := q.Step.MaxPerWorker; m > 0 {
		n = min(n, m-w.TasksByStep[q.StepKey])
	}
	w.sortLateEnds()
	need, have, in, ends := q.Step.ReservedCapacity(), w.Future, time.Duration(0), w.lateEnds
	for n > 0 {
		for !have.Covers(need) {
			if len(ends) == 0 || ends[0].Late > limit {
				return openings
			}
			have, in, ends = have.Plus(ends[0].Demand), ends[0].Late, ends[1:]
		}
		openings, have, n = append(openings, opening{in, w}), have.Minus(need), n-1
	}
	return openings
}

// Await has capacity that becomes free by itself kept for one task of a request, which
// SoonestFree found room for, and adds the runs whose ends it counts on. Other work may use
// the worker until then.
func (w *WorkerCapacity) Await(q Request, runs []any) []any {
	need := q.Step.ReservedCapacity()
	w.sortLateEnds()
	var freed crank.Demand
	n := 0
	for n < len(w.lateEnds) && !w.Future.Plus(freed).Covers(need) {
		freed = freed.Plus(w.lateEnds[n].Demand)
		if run := w.lateEnds[n].Run; run != nil {
			runs = append(runs, run)
		}
		n++
	}
	rest := positive(need.Minus(freed)) // is free now
	w.Free, w.Future, w.Eventual = w.Free.Minus(rest), w.Future.Minus(rest), w.Eventual.Minus(need)
	if n > 0 {
		last := w.lateEnds[n-1]
		last.Demand, last.Run = positive(freed.Minus(need)), nil
		w.Ends = append(slices.Clone(w.lateEnds[n:]), last)
		w.endsSorted, w.lateEnds = false, nil
	}
	return runs
}

func positive(d crank.Demand) crank.Demand {
	return crank.Demand{MilliCores: max(0, d.MilliCores), MemoryMiB: max(0, d.MemoryMiB), Accelerators: max(0, d.Accelerators)}
}

func (w *WorkerCapacity) sortLateEnds() {
	if w.lateEnds != nil || len(w.Ends) == 0 {
		return
	}
	w.lateEnds = slices.Clone(w.Ends)
	slices.SortStableFunc(w.lateEnds, func(a, b ExpectedEnd) int { return cmp.Compare(a.Late, b.Late) })
}
